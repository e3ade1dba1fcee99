// Serialization of member records, shared by the control and peer codecs.
#ifndef FILBERTHOLLOW_WIRE_MEMBER_RECORD_CODEC_H_
#define FILBERTHOLLOW_WIRE_MEMBER_RECORD_CODEC_H_

#include "filberthollow/decision/membership/member_record.h"
#include "filberthollow/wire/generated/control.capnp.h"

namespace filberthollow::wire::internal {

void Write(const decision::membership::MemberRecord& record,
           generated::MemberRecord::Builder out);
// Read returns false for a record that a valid sender never produces.
bool Read(generated::MemberRecord::Reader in,
          decision::membership::MemberRecord& out);

}  // namespace filberthollow::wire::internal

#endif  // FILBERTHOLLOW_WIRE_MEMBER_RECORD_CODEC_H_
