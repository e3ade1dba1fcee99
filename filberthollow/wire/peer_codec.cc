#include "filberthollow/wire/peer_codec.h"

#include <capnp/serialize.h>

#include "filberthollow/wire/capnp_frame.h"
#include "filberthollow/wire/generated/peer.capnp.h"
#include "filberthollow/wire/member_record_codec.h"
#include "filberthollow/wire/sealed.h"

namespace filberthollow::wire {
namespace {

using flow::Reason;

void WriteObject(const platform::StoredObject& object,
                 generated::ConfigObject::Builder out) {
  out.setName(object.name);
  out.setVersion(object.version);
  out.setDeleted(!object.value);
  out.setValue(object.value.value_or(""));
}

platform::StoredObject ReadObject(generated::ConfigObject::Reader in) {
  platform::StoredObject object{.name = in.getName().cStr(),
                                .version = in.getVersion()};
  if (!in.getDeleted()) {
    object.value = in.getValue().cStr();
  }
  return object;
}

bool ReadSnapshot(generated::Snapshot::Reader in, Snapshot& out) {
  out.nonce = in.getNonce();
  for (auto object : in.getObjects()) {
    out.objects.push_back(ReadObject(object));
  }
  for (auto record : in.getRecords()) {
    if (!internal::Read(record, out.records.emplace_back())) {
      return false;
    }
  }
  auto keys = in.getEncryptedKeys();
  out.encrypted_keys.assign(reinterpret_cast<const char*>(keys.begin()),
                            keys.size());
  return true;
}

}  // namespace

std::string EncodeSnapshotRequest(const SnapshotRequest& request,
                                  const flow::KeyRing& keys) {
  return SealPayload(
      internal::WriteFrame<generated::SnapshotRequest>([&request](auto out) {
        out.setNonce(request.nonce);
        out.setWantKeys(request.want_keys);
      }),
      keys);
}

Decoded<SnapshotRequest> DecodeSnapshotRequest(std::string_view bytes,
                                               const flow::KeyRing& keys) {
  auto payload = OpenSealed(bytes, keys);
  if (!payload) {
    return Reason::kUnsealed;
  }
  SnapshotRequest request;
  bool valid = internal::ReadFrame<generated::SnapshotRequest>(
      *payload, [&request](auto in) {
        request = {in.getNonce(), in.getWantKeys()};
        return true;
      });
  return valid ? Decoded<SnapshotRequest>(request) : Reason::kMalformed;
}

std::string EncodeSnapshot(const Snapshot& snapshot,
                           const flow::KeyRing& keys) {
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<generated::Snapshot>();
  out.setNonce(snapshot.nonce);
  auto objects =
      out.initObjects(static_cast<unsigned>(snapshot.objects.size()));
  for (unsigned i = 0; i < snapshot.objects.size(); ++i) {
    WriteObject(snapshot.objects[i], objects[i]);
  }
  auto records =
      out.initRecords(static_cast<unsigned>(snapshot.records.size()));
  for (unsigned i = 0; i < snapshot.records.size(); ++i) {
    internal::Write(snapshot.records[i], records[i]);
  }
  out.setEncryptedKeys(
      {reinterpret_cast<const kj::byte*>(snapshot.encrypted_keys.data()),
       snapshot.encrypted_keys.size()});
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  return SealPayload(
      {reinterpret_cast<const char*>(bytes.begin()), bytes.size()}, keys);
}

Decoded<Snapshot> DecodeSnapshot(std::string_view bytes,
                                 const flow::KeyRing& keys) {
  if (bytes.size() > kMaxSnapshotBytes) {
    return Reason::kOversized;
  }
  auto payload = OpenSealed(bytes, keys);
  if (!payload || payload->size() % sizeof(capnp::word) != 0) {
    return Reason::kUnsealed;
  }
  // The payload may be unaligned, but Cap'n Proto requires word alignment.
  auto words =
      kj::heapArray<capnp::word>(payload->size() / sizeof(capnp::word));
  std::memcpy(words.begin(), payload->data(), payload->size());
  capnp::ReaderOptions options;
  options.traversalLimitInWords = words.size() * 2 + 1;
  options.nestingLimit = internal::kMaxNestingDepth;
  Snapshot snapshot;
  bool valid = false;
  auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words, options);
    valid = ReadSnapshot(reader.getRoot<generated::Snapshot>(), snapshot);
  });
  if (failure != nullptr || !valid) {
    return Reason::kMalformed;
  }
  return snapshot;
}

}  // namespace filberthollow::wire
