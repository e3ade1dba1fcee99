#include "filberthollow/platform/http_object_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace filberthollow::platform {
namespace {

using nlohmann::json;

constexpr uint16_t kHttpGone = 410;
constexpr uint16_t kHttpTooManyRequests = 429;

// Which kind of the platform holds the objects below a product prefix.
struct KindRow {
  std::string_view prefix;
  std::string_view kind;
};
constexpr std::array<KindRow, 3> kKinds{{
    {"config/", "filberthollow-config"},
    {"bootstrap/", "filberthollow-bootstrap"},
    {"operator/", "config"},
}};

const KindRow& RowFor(std::string_view name) {
  for (const KindRow& row : kKinds) {
    if (name.starts_with(row.prefix)) {
      return row;
    }
  }
  return kKinds.front();
}

std::string KindPath(std::string_view name) {
  return fmt::format("{}{}", kObjectsPath, RowFor(name).kind);
}

std::string PlatformName(std::string_view name) {
  std::string local(name.substr(RowFor(name).prefix.size()));
  std::replace(local.begin(), local.end(), '/', '~');
  return local;
}

std::string ProductName(std::string_view prefix, std::string local) {
  std::replace(local.begin(), local.end(), '~', '/');
  return std::string(RowFor(prefix).prefix) + local;
}

StoredObject ObjectOf(std::string_view prefix, const json& in) {
  const json& meta = in.at("meta");
  StoredObject object;
  object.name = ProductName(prefix, meta.at("name").get<std::string>());
  object.version = meta.at("revision").get<uint64_t>();
  object.value = in.at("spec").dump();
  return object;
}

std::string BodyFor(const std::string& name,
                    uint64_t if_version,
                    const std::string& value) {
  json meta{{"name", PlatformName(name)}};
  if (if_version > 0) {
    meta["revision"] = if_version;
  }
  json spec = json::parse(value, nullptr, false);
  return json{{"meta", meta},
              {"spec", spec.is_discarded() ? json(value) : spec}}
      .dump();
}

// Reads an answer; a body of another form is an error, not a crash.
template <class T, class Read>
base::Result<T> ReadBody(const net::HttpResult& result,
                         std::string step,
                         base::Address server,
                         Read read) {
  try {
    return read(json::parse(result.body));
  } catch (const json::exception& error) {
    return base::MakeError(std::errc::protocol_error, std::move(step),
                           server.Text(), error.what());
  }
}

// The revision of the object in an answer, or 0 if there is none.
uint64_t RevisionIn(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  const json* object = &parsed;
  if (parsed.is_object() && parsed.contains("object")) {
    object = &parsed["object"];
  }
  if (!object->is_object() || !object->contains("meta")) {
    return 0;
  }
  const json& meta = (*object)["meta"];
  return meta.is_object() ? meta.value("revision", uint64_t{0}) : 0;
}

}  // namespace

base::Error HttpObjectStore::Failure(const net::HttpResult& result,
                                     std::string step) const {
  if (result.kind == net::HttpResult::kAnswered) {
    return base::MakeError(std::errc::protocol_error, std::move(step),
                           m_server.Text(),
                           fmt::format("HTTP status {}", result.status));
  }
  return base::MakeError(result.kind == net::HttpResult::kNotSent
                             ? std::errc::connection_refused
                             : std::errc::connection_aborted,
                         std::move(step), m_server.Text());
}

void HttpObjectStore::Read(const std::string& name,
                           Handler<StoredObject> done) {
  net::HttpRequest request{.server = m_server,
                           .path = KindPath(name) + "/" + PlatformName(name),
                           .timeout = kCallTimeout,
                           .max_response_bytes = kMaxAnswerBytes};
  m_client.Start(request, [this, name, done](const net::HttpResult& result) {
    if (result.kind == net::HttpResult::kAnswered &&
        result.status == net::kHttpNotFound) {
      done(StoredObject{.name = name});
      return;
    }
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      done(Failure(result, "read " + name));
      return;
    }
    done(ReadBody<StoredObject>(
        result, "read " + name, m_server,
        [&name](const json& body) { return ObjectOf(name, body); }));
  });
}

void HttpObjectStore::Write(const std::string& name,
                            uint64_t if_version,
                            const std::string& value,
                            Handler<WriteAnswer> done) {
  bool create = if_version == 0;
  net::HttpRequest request{
      .server = m_server,
      .method = create ? "POST" : "PUT",
      .path =
          create ? KindPath(name) : KindPath(name) + "/" + PlatformName(name),
      .headers = {{"content-type:", "application/json"}},
      .body = BodyFor(name, if_version, value),
      .timeout = kCallTimeout};
  m_client.Start(request, [this, name, done](const net::HttpResult& result) {
    OnWritten(result, name, done);
  });
}

void HttpObjectStore::Delete(const std::string& name,
                             uint64_t if_version,
                             Handler<WriteAnswer> done) {
  net::HttpRequest request{
      .server = m_server,
      .method = "DELETE",
      .path = fmt::format("{}/{}?revision={}", KindPath(name),
                          PlatformName(name), if_version),
      .timeout = kCallTimeout};
  m_client.Start(request, [this, name, done](const net::HttpResult& result) {
    OnWritten(result, name, done);
  });
}

void HttpObjectStore::OnWritten(const net::HttpResult& result,
                                const std::string& name,
                                const Handler<WriteAnswer>& done) {
  bool answered = result.kind == net::HttpResult::kAnswered;
  bool refused = answered && (result.status == net::kHttpUnavailable ||
                              result.status == kHttpTooManyRequests);
  if (result.kind == net::HttpResult::kNotSent || refused) {
    done(Failure(result, "write " + name));
    return;
  }
  if (answered && result.status / 100 == 2) {
    done(WriteAnswer{WriteAnswer::kWritten, RevisionIn(result.body)});
    return;
  }
  if (answered && result.status == net::kHttpNotFound) {
    done(WriteAnswer{WriteAnswer::kConflict, 0});
    return;
  }
  if (!answered || result.status != net::kHttpConflict) {
    done(WriteAnswer{});
    return;
  }
  uint64_t present = RevisionIn(result.body);
  if (present != 0) {
    done(WriteAnswer{WriteAnswer::kConflict, present});
    return;
  }
  // A refused creation need not say which version is there.
  Read(name, [done](const base::Result<StoredObject>& object) {
    if (!object) {
      done(object.error());
      return;
    }
    done(WriteAnswer{WriteAnswer::kConflict, object->version});
  });
}

void HttpObjectStore::ListPage(const std::shared_ptr<Listing>& listing,
                               const std::string& after) {
  std::string query = after.empty() ? "" : "?after=" + after;
  net::HttpRequest request{.server = m_server,
                           .path = KindPath(listing->prefix) + query,
                           .timeout = kCallTimeout,
                           .max_response_bytes = kMaxAnswerBytes};
  std::string step = "list " + listing->prefix;
  m_client.Start(request, [this, listing, step](const auto& result) {
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      listing->done(Failure(result, step));
      return;
    }
    std::string next;
    auto read =
        ReadBody<base::Done>(result, step, m_server, [&](const json& body) {
          // Changes made while later pages are read come with the next watch.
          uint64_t at = body.at("at").get<uint64_t>();
          uint64_t& revision = listing->answer.revision;
          revision = revision == 0 ? at : std::min(revision, at);
          for (const json& item : body.at("items")) {
            StoredObject object = ObjectOf(listing->prefix, item);
            next = PlatformName(object.name);
            if (object.name.starts_with(listing->prefix)) {
              listing->answer.objects.push_back(std::move(object));
            }
          }
          if (!body.value("hasMore", false)) {
            next.clear();
          }
          return base::Done{};
        });
    if (!read) {
      listing->done(read.error());
    } else if (!next.empty()) {
      ListPage(listing, next);
    } else {
      listing->done(listing->answer);
    }
  });
}

void HttpObjectStore::Watch(const WatchQuery& query,
                            Handler<WatchAnswer> done) {
  auto listing = std::make_shared<Listing>();
  listing->prefix = query.prefix;
  listing->answer.complete = true;
  listing->done = done;
  if (query.after == 0) {
    ListPage(listing, "");
    return;
  }
  net::HttpRequest request{
      .server = m_server,
      .path = fmt::format("{}?watch={}&waitMs={}", KindPath(query.prefix),
                          query.after, query.wait.count()),
      .timeout = kCallTimeout + query.wait,
      .max_response_bytes = kMaxAnswerBytes};
  std::string prefix = query.prefix;
  m_client.Start(request, [this, listing, prefix, done](const auto& result) {
    std::string step = "watch " + prefix;
    if (result.kind == net::HttpResult::kAnswered &&
        result.status == kHttpGone) {
      ListPage(listing, "");  // the changes are forgotten: read all again
      return;
    }
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      done(Failure(result, step));
      return;
    }
    done(ReadBody<WatchAnswer>(result, step, m_server, [&](const json& body) {
      WatchAnswer answer{.revision = body.at("at").get<uint64_t>()};
      for (const json& event : body.at("events")) {
        StoredObject object = ObjectOf(prefix, event.at("object"));
        if (event.value("removed", false)) {
          object.value.reset();
          object.version = std::max(object.version, answer.revision);
        }
        if (object.name.starts_with(prefix)) {
          answer.objects.push_back(std::move(object));
        }
      }
      return answer;
    }));
  });
}

}  // namespace filberthollow::platform
