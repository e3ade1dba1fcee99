// Edits of the settings tree at the platform, safe among racing operators.
//
// The root and each service are objects of their service_edits:
//
//   {"author": "ada", "operation_ids": ["7f3a...", ...], "node": {...}}
//
// Every write is conditional on the version that was read. A lost race is
// answered by reading again: edits of other fields are kept and the write is
// repeated on top of them; an edit of the same field is a conflict, and the
// operator is told who changed what. A write whose answer was lost is looked
// up by its operation_id identifier, never written again blindly.
//
//   TreeEditor editor(store, "ada", seed);
//   Result<TreeSnapshot> before = editor.Load();
//   Result<EditReport> report = editor.Commit(*before, edits);
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

// TreeSnapshot is the tree as it was read.
struct TreeSnapshot {
  settings::Tree tree;
  uint64_t revision = 0;  // highest version among its objects
  friend bool operator==(const TreeSnapshot&, const TreeSnapshot&) = default;
};

// EditReport tells what a commit did.
struct EditReport {
  uint64_t revision = 0;  // of the last write; 0 if nothing had to change
  uint32_t writes = 0;    // objects written
  uint32_t races = 0;     // lost races that were merged
  uint32_t lost_answers =
      0;  // writes found out by their operation_id identifier
  friend bool operator==(const EditReport&, const EditReport&) = default;
};

class TreeEditor {
 public:
  static constexpr uint32_t kMaxAttempts = 16;
  // kMaxOperationIds bounds the operation_id identifiers kept in an object.
  static constexpr size_t kMaxOperationIds = 32;

  TreeEditor(BlockingStore& store, std::string author, uint64_t seed);

  base::Result<TreeSnapshot> Load();
  // Commit applies the edits, which were made on `base`. Services that `base`
  // lacks are created. Each object is written whole or not at all.
  base::Result<EditReport> Commit(const settings::Tree& base,
                                  const std::vector<settings::Edit>& edits,
                                  const std::vector<std::string>& new_services);

 private:
  struct TreeObject;  // one object of the tree, parsed

  base::Result<TreeObject> ReadObject(const std::string& service);
  // Brings one object up to date; `create` allows it to be new.
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

// EditsBetween returns the edits that lead from one tree to another, and the
// services that have to be created for it.
struct TreeChange {
  std::vector<settings::Edit> edits;
  std::vector<std::string> new_services;
  friend bool operator==(const TreeChange&, const TreeChange&) = default;
};
TreeChange EditsBetween(const settings::Tree& before,
                        const settings::Tree& after);

}  // namespace filberthollow::operator_tool

#endif  // FILBERTHOLLOW_OPERATOR_TREE_EDITOR_H_
