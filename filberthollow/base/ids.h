// Strongly typed 64-bit identifiers. They compare and copy like integers but do
// not convert to one another.
//
//   ServiceId desk = ServiceIdOf("permit-desk");
//   if (record.service == desk) { ... }
#ifndef FILBERTHOLLOW_BASE_IDS_H_
#define FILBERTHOLLOW_BASE_IDS_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace filberthollow::base {

// ServiceId identifies a service; see ServiceIdOf().
enum class ServiceId : uint64_t {};
// TargetId identifies a target (one upstream and its agent) across restarts.
enum class TargetId : uint64_t {};
// Incarnation identifies one run of a process; each restart gets a new one.
enum class Incarnation : uint64_t {};
// FlowId identifies a flow between one caller and one service.
enum class FlowId : uint64_t {};
// RequestSeq numbers the requests of one flow, from 1.
enum class RequestSeq : uint64_t {};

// HashBytes returns a 64-bit hash that is the same on every host.
uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0);
// HashWords returns a 64-bit hash of the in-memory bytes of `words`.
uint64_t HashWords(std::initializer_list<uint64_t> words);

// ServiceIdOf derives the identifier of the service called `name`. The
// settings validation rejects two names that hash to the same identifier.
ServiceId ServiceIdOf(std::string_view name);
// TargetIdOf derives the identifier of a target from its path in the settings
// tree.
TargetId TargetIdOf(std::string_view service,
                    std::string_view data_centre,
                    std::string_view target);

// Value returns the underlying integer of an identifier.
template <class Id>
constexpr uint64_t Value(Id id) {
  return static_cast<uint64_t>(id);
}

}  // namespace filberthollow::base

#endif  // FILBERTHOLLOW_BASE_IDS_H_
