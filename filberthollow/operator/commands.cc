#include "filberthollow/operator/commands.h"

#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <random>

#include "filberthollow/config/config.h"
#include "filberthollow/operator/tree_editor.h"
#include "filberthollow/settings/process_file.h"
#include "filberthollow/settings/tree_json.h"

namespace filberthollow::operator_tool {
namespace {

using internal::Fail;
using nlohmann::json;
using platform::WriteAnswer;

// Number of keys that rotation keeps; it removes the oldest one beyond that.
constexpr size_t kMaxKeys = 3;
// Number of balancers that can be named on the command line of `evacuations`:
// all of the largest fleet.
constexpr size_t kMaxAdminAddresses = 1000;

base::Result<settings::Tree> ReadTreeFile(const std::string& path) {
  auto text = settings::ReadFile(path);
  if (!text) {
    return text.error();
  }
  return settings::ParseTree(*text, path);
}

TreeEditor MakeEditor(const SubcommandContext& context) {
  std::random_device device;
  return {*context.store, context.author,
          (uint64_t{device()} << 32) | device()};
}

flow::Key NewKey(uint32_t epoch, base::Millis active_from) {
  flow::Key key{.epoch = epoch, .active_from = active_from};
  std::random_device device;
  for (uint8_t& byte : key.secret) {
    byte = static_cast<uint8_t>(device());
  }
  return key;
}

// Writes the keys object. If the answer to the write is lost, reads the object
// back instead of writing it again.
int WriteKeys(const SubcommandContext& context,
              uint64_t version,
              const std::vector<flow::Key>& keys) {
  std::string text = config::KeysText(keys);
  auto written = context.store->Write(platform::kKeysObject, version, text);
  if (!written) {
    return Fail(written.error());
  }
  if (written->kind == WriteAnswer::kUnknown) {
    auto current = context.store->Read(platform::kKeysObject);
    if (!current || current->value != text) {
      return Fail(base::MakeError(std::errc::connection_aborted, "write keys",
                                  platform::kKeysObject,
                                  "could not confirm the write; try again"));
    }
  } else if (written->kind == WriteAnswer::kConflict) {
    fmt::print(
        stderr,
        "filberthollow: another operator changed the keys concurrently\n");
    return kExitConflict;
  }
  fmt::print("keys: newest epoch {}, {} keys in total\n", keys.back().epoch,
             keys.size());
  return kExitSuccess;
}

int RunInit(const SubcommandContext& context) {
  auto keys = context.store->Read(platform::kKeysObject);
  if (!keys) {
    return Fail(keys.error());
  }
  if (keys->value) {
    fmt::print("keys: already exist\n");
    return kExitSuccess;
  }
  return WriteKeys(context, 0, {NewKey(1, base::Millis(0))});
}

int RunRotateKeys(const SubcommandContext& context) {
  auto stored = context.store->Read(platform::kKeysObject);
  if (!stored) {
    return Fail(stored.error());
  }
  auto keys = config::ParseKeyList(stored->value.value_or(""));
  if (!keys) {
    return Fail(keys.error());
  }
  keys->push_back(NewKey(keys->empty() ? 1 : keys->back().epoch + 1,
                         base::WallMillis() + config::kKeyActivationDelay));
  if (keys->size() > kMaxKeys) {
    keys->erase(keys->begin());
  }
  return WriteKeys(context, stored->version, *keys);
}

int RunCheck(const SubcommandContext& context) {
  auto tree = ReadTreeFile(context.arguments[0]);
  if (!tree) {
    return Fail(tree.error());
  }
  fmt::print("{}: valid, {} services\n", context.arguments[0],
             tree->services.size());
  return kExitSuccess;
}

void PrintResolved(const settings::Resolved& resolved) {
  fmt::print("{:<18} {:>10}  {}\n", "setting", "value", "set by");
  for (size_t i = 0; i < settings::kFieldCount; ++i) {
    const settings::Field& field = settings::Fields().at(i);
    fmt::print("{:<18} {:>10}  {}\n", field.name,
               settings::ValueText(field, resolved.settings.*field.value),
               resolved.sources.at(i));
  }
}

json ResolvedJson(const settings::Resolved& resolved) {
  json out = json::object();
  for (size_t i = 0; i < settings::kFieldCount; ++i) {
    const settings::Field& field = settings::Fields().at(i);
    out[std::string(field.name)] = {
        {"value", settings::ValueText(field, resolved.settings.*field.value)},
        {"source", resolved.sources.at(i)}};
  }
  return out;
}

int RunShow(const SubcommandContext& context) {
  auto snapshot = MakeEditor(context).Load();
  if (!snapshot) {
    return Fail(snapshot.error());
  }
  if (context.arguments.empty()) {
    fmt::print("{}\n", settings::TreeJson(snapshot->tree).dump(2));
    return kExitSuccess;
  }
  auto path = settings::NodePath::Parse(context.arguments[0]);
  if (!path) {
    return Fail(path.error());
  }
  if (!path->service.empty() &&
      !snapshot->tree.services.contains(path->service)) {
    return Fail(base::MakeError(std::errc::invalid_argument, "show settings",
                                path->Text(), "no such service"));
  }
  settings::Resolved resolved = settings::Resolve(snapshot->tree, *path);
  if (context.json) {
    fmt::print("{}\n", ResolvedJson(resolved).dump());
  } else {
    PrintResolved(resolved);
  }
  return kExitSuccess;
}

int RunDiff(const SubcommandContext& context) {
  auto desired = ReadTreeFile(context.arguments[0]);
  if (!desired) {
    return Fail(desired.error());
  }
  auto current = MakeEditor(context).Load();
  if (!current) {
    return Fail(current.error());
  }
  auto differences = settings::Diff(current->tree, *desired);
  json list = json::array();
  for (const settings::Difference& d : differences) {
    if (context.json) {
      list.push_back({{"path", d.path.Text()},
                      {"field", d.field},
                      {"before", d.before},
                      {"after", d.after}});
    } else {
      fmt::print("{} {}: {} -> {}\n", d.path.Text(), d.field, d.before,
                 d.after);
    }
  }
  if (context.json) {
    fmt::print("{}\n", list.dump());
  }
  return differences.empty() ? kExitSuccess : kExitDifferent;
}

int ReportCommit(const SubcommandContext& context,
                 const base::Result<EditReport>& report) {
  if (!report) {
    return Fail(report.error());
  }
  if (context.json) {
    fmt::print("{}\n", json{{"revision", report->revision},
                            {"writes", report->writes},
                            {"races", report->races},
                            {"lost_answers", report->lost_answers}}
                           .dump());
  } else if (report->writes == 0) {
    fmt::print("no changes\n");
  } else {
    fmt::print("accepted as revision {}\n", report->revision);
  }
  return kExitSuccess;
}

int RunApply(const SubcommandContext& context) {
  auto desired = ReadTreeFile(context.arguments[0]);
  if (!desired) {
    return Fail(desired.error());
  }
  TreeEditor editor = MakeEditor(context);
  auto current = editor.Load();
  if (!current) {
    return Fail(current.error());
  }
  TreeChange change = EditsBetween(current->tree, *desired);
  return ReportCommit(
      context, editor.Commit(current->tree, change.edits, change.new_services));
}

int CommitFieldEdit(const SubcommandContext& context,
                    std::optional<std::string> value_text) {
  auto path = settings::NodePath::Parse(context.arguments[0]);
  if (!path) {
    return Fail(path.error());
  }
  const settings::Field* field = settings::FindField(context.arguments[1]);
  if (field == nullptr) {
    return Fail(base::MakeError(std::errc::invalid_argument, "edit settings",
                                path->Text(),
                                "unknown field " + context.arguments[1]));
  }
  settings::Edit edit{*path, std::string(field->name), std::nullopt};
  if (value_text) {
    edit.value = settings::ParseValue(*field, *value_text);
    if (!edit.value) {
      return Fail(
          base::MakeError(std::errc::invalid_argument, "edit settings",
                          path->Text() + " " + edit.field,
                          fmt::format("found {}, expected {}", *value_text,
                                      settings::ExpectedText(*field))));
    }
  }
  TreeEditor editor = MakeEditor(context);
  auto current = editor.Load();
  if (!current) {
    return Fail(current.error());
  }
  if (auto valid = settings::ApplyEdit(current->tree, edit); !valid) {
    return Fail(valid.error());
  }
  return ReportCommit(context, editor.Commit(current->tree, {edit}, {}));
}

int RunSet(const SubcommandContext& context) {
  return CommitFieldEdit(context, context.arguments[2]);
}

int RunUnset(const SubcommandContext& context) {
  return CommitFieldEdit(context, std::nullopt);
}

int RunFields(const SubcommandContext& /*context*/) {
  for (const settings::Field& field : settings::Fields()) {
    fmt::print("{:<18} {:<24} {}\n", field.name, settings::ExpectedText(field),
               field.description);
  }
  return kExitSuccess;
}

void PrintUsage() {
  fmt::print(
      "filberthollow [--platform A.B.C.D:PORT] [--author NAME] [--json] "
      "SUBCOMMAND ...\n\n");
  for (const Subcommand& subcommand : Subcommands()) {
    fmt::print("  {:<34} {}\n",
               fmt::format("{} {}", subcommand.name, subcommand.argument_names),
               subcommand.help);
  }
  fmt::print(
      "\nexit codes: 0 success, 1 failed, 2 invalid command line, 3 invalid "
      "settings,\n            4 conflict with another operator, 5 differences, "
      "lagging\n            processes or an incomplete evacuation\n");
}

const Subcommand* FindSubcommand(std::string_view name) {
  for (const Subcommand& subcommand : Subcommands()) {
    if (subcommand.name == name) {
      return &subcommand;
    }
  }
  return nullptr;
}

int UsageError(std::string_view problem) {
  fmt::print(stderr, "filberthollow: {}; see filberthollow --help\n", problem);
  return kExitUsage;
}

int RunSubcommand(const Subcommand& subcommand,
                  SubcommandContext context,
                  const std::string& platform) {
  size_t count = context.arguments.size();
  if (count < subcommand.min_arguments || count > subcommand.max_arguments) {
    return UsageError(fmt::format("usage: {} {}", subcommand.name,
                                  subcommand.argument_names));
  }
  if (!subcommand.needs_platform) {
    return subcommand.run(context);
  }
  auto address = base::Address::Parse(platform);
  if (!address) {
    return UsageError("--platform: " + address.error().Text());
  }
  base::SystemClock clock;
  HttpBlockingStore store(clock, *address);
  context.store = &store;
  return subcommand.run(context);
}

}  // namespace

namespace internal {

int Fail(const base::Error& error) {
  fmt::print(stderr, "filberthollow: {}\n", error.Text());
  if (error.code == std::errc::invalid_argument) {
    return kExitInvalidSettings;
  }
  return error.code == std::errc::operation_canceled ? kExitConflict
                                                     : kExitFailed;
}

}  // namespace internal

const std::vector<Subcommand>& Subcommands() {
  static const std::vector<Subcommand> subcommands{
      {"init", "", 0, 0, true, "create the first key if there is none",
       &RunInit},
      {"rotate-keys", "", 0, 0, true,
       "add a new key without interrupting flows", &RunRotateKeys},
      {"fields", "", 0, 0, false, "list the settings and their ranges",
       &RunFields},
      {"check", "FILE", 1, 1, false, "validate a tree file", &RunCheck},
      {"show", "[PATH]", 0, 1, true,
       "show the tree, or a node's settings and their sources", &RunShow},
      {"diff", "FILE", 1, 1, true, "compare the stored tree with a file",
       &RunDiff},
      {"apply", "FILE", 1, 1, true,
       "update the stored tree from a file; services not in it are kept",
       &RunApply},
      {"set", "PATH FIELD VALUE", 3, 3, true, "set a field of a node", &RunSet},
      {"unset", "PATH FIELD", 2, 2, true,
       "remove a field of a node, so that it is inherited", &RunUnset},
      {"status", "", 0, 0, true, "show the status of all balancers and targets",
       &internal::RunStatus},
      {"explain", "FLOW [-]", 1, 2, true,
       "show how a flow was handled; with -, from log lines on standard "
       "input",
       &internal::RunExplain},
      {"evacuations", "[ADMIN-ADDRESS ...]", 0, kMaxAdminAddresses, true,
       "show the evacuated data centres, and whether all balancers and agents "
       "know; with the addresses of balancers, also asks these",
       &internal::RunEvacuations},
  };
  return subcommands;
}

int RunCommandLine(const std::vector<std::string>& arguments) {
  namespace po = boost::program_options;
  std::string platform;
  SubcommandContext context;
  po::options_description options;
  options.add_options()("help", "")(
      "platform", po::value(&platform)->default_value("127.0.0.1:7000"), "")(
      "author", po::value(&context.author)->default_value("operator"), "")(
      "json", po::bool_switch(&context.json), "")(
      "words", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positions;
  positions.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(arguments)
                  .options(options)
                  .positional(positions)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    return UsageError(error.what());
  }
  std::vector<std::string> positional_arguments;
  if (values.count("words") != 0) {
    positional_arguments = values["words"].as<std::vector<std::string>>();
  }
  const Subcommand* subcommand = positional_arguments.empty()
                                     ? nullptr
                                     : FindSubcommand(positional_arguments[0]);
  if (values.count("help") != 0) {
    if (subcommand != nullptr) {
      fmt::print("filberthollow {} {}\n  {}\n", subcommand->name,
                 subcommand->argument_names, subcommand->help);
    } else {
      PrintUsage();
    }
    return kExitSuccess;
  }
  if (subcommand == nullptr) {
    return UsageError(positional_arguments.empty()
                          ? "missing subcommand"
                          : "unknown subcommand " + positional_arguments[0]);
  }
  context.arguments.assign(positional_arguments.begin() + 1,
                           positional_arguments.end());
  return RunSubcommand(*subcommand, context, platform);
}

}  // namespace filberthollow::operator_tool
