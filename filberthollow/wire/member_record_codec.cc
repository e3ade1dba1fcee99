#include "filberthollow/wire/member_record_codec.h"

#include <algorithm>

namespace filberthollow::wire::internal {
namespace {

using base::Value;
using decision::membership::MemberRecord;

uint16_t Clamp16(uint32_t value) {
  return static_cast<uint16_t>(std::min<uint32_t>(value, UINT16_MAX));
}

}  // namespace

void Write(const MemberRecord& record, generated::MemberRecord::Builder out) {
  out.setId(Value(record.id));
  out.setIncarnation(Value(record.incarnation));
  out.setService(Value(record.service));
  out.setDataCentre(record.data_centre);
  out.setSequence(record.sequence);
  out.setIp(record.address.ip);
  out.setPort(record.address.port);
  out.setKind(static_cast<uint8_t>(record.kind));
  out.setState(static_cast<uint8_t>(record.state));
  out.setWeight(Clamp16(record.weight));
  out.setLoad(Clamp16(record.load));
}

bool Read(generated::MemberRecord::Reader in, MemberRecord& out) {
  if (in.getKind() >
          static_cast<uint8_t>(decision::membership::MemberKind::kBalancer) ||
      in.getState() >
          static_cast<uint8_t>(decision::membership::MemberState::kDead)) {
    return false;
  }
  out = {.id = decision::membership::MemberId{in.getId()},
         .kind = static_cast<decision::membership::MemberKind>(in.getKind()),
         .state = static_cast<decision::membership::MemberState>(in.getState()),
         .incarnation = base::Incarnation{in.getIncarnation()},
         .sequence = in.getSequence(),
         .service = base::ServiceId{in.getService()},
         .data_centre = in.getDataCentre(),
         .address = {in.getIp(), in.getPort()},
         .weight = in.getWeight(),
         .load = in.getLoad()};
  return true;
}

}  // namespace filberthollow::wire::internal
