// A second front end for the decisions: messages as JSON text.
//
// The daemons carry the same values as Cap'n Proto datagrams. That this one
// works too shows that no decision depends on an encoding.
//
//   std::string text = EncodeJson(up);
//   flow::Up again = DecodeUpJson(text);
#ifndef FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_
#define FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_

#include <string>

#include "filberthollow/flow/messages.h"

namespace filberthollow::testing {

std::string EncodeJson(const flow::Up& message);
std::string EncodeJson(const flow::Down& message);
flow::Up DecodeUpJson(const std::string& text);
flow::Down DecodeDownJson(const std::string& text);

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_
