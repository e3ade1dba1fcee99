// A second front end for the decisions, which encodes messages as JSON text.
//
// The daemons encode the same messages as Cap'n Proto datagrams. Tests that use
// JSON instead show that no decision depends on the encoding.
//
//   std::string text = EncodeJson(up);
//   flow::Up again = DecodeUpJson(text);
#ifndef FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_
#define FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_

#include <string>

#include "filberthollow/flow/messages.h"

namespace filberthollow::testing {

// Encodes a message as a JSON array: its kind, then its fields in order.
std::string EncodeJson(const flow::Up& message);
std::string EncodeJson(const flow::Down& message);
// Decodes what EncodeJson() returned. Other text is an error of the test: it
// throws an exception or gives a wrong message.
flow::Up DecodeUpJson(const std::string& text);
flow::Down DecodeDownJson(const std::string& text);

}  // namespace filberthollow::testing

#endif  // FILBERTHOLLOW_TESTING_JSON_FRONT_END_H_
