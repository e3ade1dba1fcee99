// Edits the settings tree stored on the platform; several operators may edit it
// concurrently.
//
// The root and each service are stored as separate objects:
//
//   {"author": "ada", "operations": ["7f3a...", ...], "node": {...}}
//
// Every write is conditional on the version that was read. If the version has
// changed, the object is read again: concurrent edits of other fields are kept
// and the write is repeated on top of them; a concurrent edit of the same field
// is a conflict, and the error names the new value and its author. If the
// answer to a write is lost, the object is read again and searched for the
// write's operation ID, so that a write that took effect is not repeated.
//
//   TreeEditor editor(store, "ada", seed);
//   Result<TreeSnapshot> before = editor.Load();
//   Result<EditReport> report = editor.Commit(before->tree, edits, {});
#ifndef FILBERTHOLLOW_OPERATOR_TREE_EDITOR_H_
#define FILBERTHOLLOW_OPERATOR_TREE_EDITOR_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "filberthollow/operator/blocking_store.h"
#include "filberthollow/settings/tree.h"

namespace filberthollow::operator_tool {

// TreeSnapshot is the tree as it was read. Its objects are read one by one, so
// a concurrent edit may be included in part.
struct TreeSnapshot {
  settings::Tree tree;
  uint64_t revision = 0;  // highest version of the objects
  friend bool operator==(const TreeSnapshot&, const TreeSnapshot&) = default;
};

// EditReport is the result of a commit.
struct EditReport {
  uint64_t revision = 0;  // of the last write; 0 if nothing had to change
  uint32_t writes = 0;    // objects written
  uint32_t races = 0;     // writes repeated because the version had changed
  // Writes whose answer was lost and that were found by their operation ID.
  uint32_t lost_answers = 0;
  friend bool operator==(const EditReport&, const EditReport&) = default;
};

// TreeEditor reads and edits the tree; the store must outlive it. Calls block
// as those of BlockingStore do.
class TreeEditor {
 public:
  // kMaxAttempts bounds how often one object is read and written in a commit.
  static constexpr uint32_t kMaxAttempts = 16;
  // kMaxOperationIds bounds the operation IDs kept in an object; the oldest is
  // removed first.
  static constexpr size_t kMaxOperationIds = 32;

  // `author` is recorded with each write; `seed` seeds the operation IDs and
  // must differ between editors.
  TreeEditor(BlockingStore& store, std::string author, uint64_t seed);

  base::Result<TreeSnapshot> Load();
  // Commit applies edits that were derived from the tree `base`, and creates
  // `new_services`. Each object is written atomically, but not all objects
  // together: after an error, some may have been written. Fails with
  // operation_canceled on a conflict and with resource_unavailable_try_again
  // after kMaxAttempts.
  base::Result<EditReport> Commit(const settings::Tree& base,
                                  const std::vector<settings::Edit>& edits,
                                  const std::vector<std::string>& new_services);

 private:
  struct TreeObject;  // one stored object, parsed

  base::Result<TreeObject> ReadObject(const std::string& service);
  // Applies the edits of one object; `create` adds the service if it is
  // missing. An empty `service` stands for the root.
  base::Result<base::Done> CommitObject(
      const settings::Tree& base,
      const std::string& service,
      bool create,
      const std::vector<settings::Edit>& edits,
      EditReport& report);
  std::string NewOperationId();

  BlockingStore& m_store;
  const std::string m_author;
  std::mt19937_64 m_random;
};

// TreeChange is the difference between two trees, as input for Commit().
struct TreeChange {
  std::vector<settings::Edit> edits;
  std::vector<std::string> new_services;
  friend bool operator==(const TreeChange&, const TreeChange&) = default;
};
// EditsBetween returns the change from one tree to another. Services that
// `after` lacks are not removed.
TreeChange EditsBetween(const settings::Tree& before,
                        const settings::Tree& after);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_TREE_EDITOR_H_
