#include "filberthollow/platform/http_object_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "filberthollow/base/log.h"
#include "filberthollow/platform/object_json.h"

namespace filberthollow::platform {
namespace {

using nlohmann::json;

constexpr uint16_t kHttpTooManyRequests = 429;
// Number of the store's generation; rises by one with each.
constexpr const char* kGenerationHeader = "store-era:";

// Maps the prefix of an object's name to the kind that holds the object on the
// platform.
struct KindMapping {
  std::string_view prefix;
  std::string_view kind;
};
constexpr std::array<KindMapping, 4> kKindMappings{{
    {"config/", "filberthollow-config"},
    {"bootstrap/", "filberthollow-bootstrap"},
    {"operator/", "config"},
    {kEvacuationPrefix, "evacuations"},
}};

const KindMapping& KindMappingFor(std::string_view name) {
  for (const KindMapping& mapping : kKindMappings) {
    if (name.starts_with(mapping.prefix)) {
      return mapping;
    }
  }
  return kKindMappings.front();
}

std::string KindPath(std::string_view name) {
  return fmt::format("{}{}", kObjectsPath, KindMappingFor(name).kind);
}

std::string ToPlatformName(std::string_view name) {
  std::string platform_name(name.substr(KindMappingFor(name).prefix.size()));
  std::replace(platform_name.begin(), platform_name.end(), '/', '~');
  return platform_name;
}

std::string FromPlatformName(std::string_view prefix,
                             std::string platform_name) {
  std::replace(platform_name.begin(), platform_name.end(), '~', '/');
  return std::string(KindMappingFor(prefix).prefix) + platform_name;
}

StoredObject ParseObject(std::string_view prefix,
                         uint64_t generation,
                         const json& in) {
  const json& meta = in.at("meta");
  StoredObject object;
  object.name = FromPlatformName(prefix, meta.at("name").get<std::string>());
  object.version = VersionOf(generation, meta.at("revision").get<uint64_t>());
  object.value = in.at("spec").dump();
  return object;
}

std::string MakeRequestBody(const std::string& name,
                            uint64_t if_version,
                            const std::string& value) {
  json meta{{"name", ToPlatformName(name)}};
  if (if_version > 0) {
    meta["revision"] = RevisionOf(if_version);
  }
  json spec = json::parse(value, nullptr, false);
  return json{{"meta", meta},
              {"spec", spec.is_discarded() ? json(value) : spec}}
      .dump();
}

// Passes the JSON body of an answer to `parse`. A body that is malformed or
// has an unexpected structure results in an error rather than a crash.
template <class T, class Parse>
base::Result<T> ParseBody(const net::HttpResult& result,
                          std::string step,
                          base::Address server,
                          Parse parse) {
  try {
    return parse(json::parse(result.body));
  } catch (const json::exception& error) {
    return base::MakeError(std::errc::protocol_error, std::move(step),
                           server.Text(), error.what());
  }
}

// Returns the revision of the object in an answer, or 0 if there is none. The
// object is either the whole body or its field "object".
uint64_t ParseRevision(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  const json* object = FindField(parsed, "object");
  return FindRevision(object == nullptr ? parsed : *object);
}

}  // namespace

void HttpObjectStore::Start(net::HttpRequest request,
                            net::HttpClient::Handler done) {
  request.response_header = kGenerationHeader;
  m_client.Start(std::move(request), [this, done = std::move(done)](
                                         const net::HttpResult& result) {
    const std::string& text = result.header_value;
    std::from_chars(text.data(), text.data() + text.size(), m_generation);
    done(result);
  });
}

base::Error HttpObjectStore::MakeFailure(const net::HttpResult& result,
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
                           .path = KindPath(name) + "/" + ToPlatformName(name),
                           .timeout = kCallTimeout,
                           .max_response_bytes = kMaxAnswerBytes};
  Start(request, [this, name, done](const net::HttpResult& result) {
    if (result.kind == net::HttpResult::kAnswered &&
        result.status == net::kHttpNotFound) {
      done(StoredObject{.name = name});
      return;
    }
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      done(MakeFailure(result, "read " + name));
      return;
    }
    done(ParseBody<StoredObject>(result, "read " + name, m_server,
                                 [&](const json& body) {
                                   return ParseObject(name, m_generation, body);
                                 }));
  });
}

void HttpObjectStore::Write(const std::string& name,
                            uint64_t if_version,
                            const std::string& value,
                            Handler<WriteAnswer> done) {
  bool create = if_version == 0;
  if (!create && GenerationOf(if_version) != m_generation) {
    ReportConflict(name, done);
    return;
  }
  net::HttpRequest request{
      .server = m_server,
      .method = create ? "POST" : "PUT",
      .path =
          create ? KindPath(name) : KindPath(name) + "/" + ToPlatformName(name),
      .headers = {{"content-type:", "application/json"}},
      .body = MakeRequestBody(name, if_version, value),
      .timeout = kCallTimeout};
  Start(request, [this, name, if_version, done](const auto& result) {
    OnWriteResponse(result, name, if_version, done);
  });
}

void HttpObjectStore::Delete(const std::string& name,
                             uint64_t if_version,
                             Handler<WriteAnswer> done) {
  if (GenerationOf(if_version) != m_generation) {
    ReportConflict(name, done);
    return;
  }
  net::HttpRequest request{
      .server = m_server,
      .method = "DELETE",
      .path = fmt::format("{}/{}?revision={}", KindPath(name),
                          ToPlatformName(name), RevisionOf(if_version)),
      .timeout = kCallTimeout};
  Start(request, [this, name, if_version, done](const auto& result) {
    OnWriteResponse(result, name, if_version, done);
  });
}

void HttpObjectStore::OnWriteResponse(const net::HttpResult& result,
                                      const std::string& name,
                                      uint64_t if_version,
                                      const Handler<WriteAnswer>& done) {
  bool answered = result.kind == net::HttpResult::kAnswered;
  bool refused = answered && (result.status == net::kHttpUnavailable ||
                              result.status == kHttpTooManyRequests);
  if (result.kind == net::HttpResult::kNotSent || refused) {
    done(MakeFailure(result, "write " + name));
    return;
  }
  if (answered && result.status / 100 == 2) {
    uint64_t revision = ParseRevision(result.body);
    bool same_generation =
        if_version == 0 || GenerationOf(if_version) == m_generation;
    done(
        same_generation
            ? WriteAnswer{WriteAnswer::kWritten,
                          revision == 0 ? 0 : VersionOf(m_generation, revision)}
            : WriteAnswer{});
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
  if (uint64_t revision = ParseRevision(result.body); revision != 0) {
    done(
        WriteAnswer{WriteAnswer::kConflict, VersionOf(m_generation, revision)});
    return;
  }
  // The answer to a rejected creation does not always contain the present
  // version, so it is read separately.
  ReportConflict(name, done);
}

void HttpObjectStore::ReportConflict(const std::string& name,
                                     const Handler<WriteAnswer>& done) {
  Read(name, [done](const base::Result<StoredObject>& object) {
    if (!object) {
      done(object.error());
      return;
    }
    done(WriteAnswer{WriteAnswer::kConflict, object->version});
  });
}

void HttpObjectStore::LogUnreadable(const std::string& step,
                                    size_t objects) const {
  if (objects > 0) {
    base::Log(
        base::Level::kWarning, "objects_unreadable",
        {{"step", step}, {"peer", m_server.Text()}, {"objects", objects}});
  }
}

base::Result<std::string> HttpObjectStore::AddPage(
    Listing& listing,
    const std::string& after_name,
    const std::string& step,
    const net::HttpResult& result) const {
  return ParseBody<std::string>(
      result, step, m_server,
      [&](const json& body) -> base::Result<std::string> {
        // Pages may have different revisions. The lowest is reported, so that
        // the next watch returns changes made while later pages were read.
        uint64_t at = VersionOf(m_generation, body.at("at").get<uint64_t>());
        uint64_t& revision = listing.answer.revision;
        revision = revision == 0 ? at : std::min(revision, at);
        std::string last_name;
        size_t unreadable = 0;
        for (const json& item : ArrayAt(body, "items")) {
          auto object = ReadObject(item, at);
          if (!object) {
            ++unreadable;
            continue;
          }
          last_name = object->name;
          object->name = FromPlatformName(listing.prefix, object->name);
          if (object->name.starts_with(listing.prefix)) {
            listing.answer.objects.push_back(std::move(*object));
          }
        }
        listing.answer.unreadable += unreadable;
        LogUnreadable(step, unreadable);
        if (!body.value("hasMore", false)) {
          return std::string();
        }
        if (last_name.empty() || last_name == after_name) {
          // The next page can't be requested, and in a partial list the other
          // objects would look removed.
          return base::MakeError(std::errc::protocol_error, step,
                                 m_server.Text(),
                                 "no object of a page has a readable name");
        }
        return last_name;
      });
}

void HttpObjectStore::ListPage(const std::shared_ptr<Listing>& listing,
                               const std::string& after_name) {
  std::string query = after_name.empty() ? "" : "?after=" + after_name;
  net::HttpRequest request{.server = m_server,
                           .path = KindPath(listing->prefix) + query,
                           .timeout = kCallTimeout,
                           .max_response_bytes = kMaxAnswerBytes};
  std::string step = "list " + listing->prefix;
  Start(request, [this, listing, after_name, step](const auto& result) {
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      listing->done(MakeFailure(result, step));
      return;
    }
    if (listing->answer.revision == 0) {
      listing->generation = m_generation;
    } else if (listing->generation != m_generation) {
      // Pages of two generations don't make up a list.
      listing->answer = {.complete = true};
      ListPage(listing, "");
      return;
    }
    auto next = AddPage(*listing, after_name, step, result);
    if (!next) {
      listing->done(next.error());
    } else if (!next->empty()) {
      ListPage(listing, *next);
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
  if (query.after_revision == 0) {
    ListPage(listing, "");
    return;
  }
  net::HttpRequest request{
      .server = m_server,
      .path = fmt::format("{}?watch={}&waitMs={}", KindPath(query.prefix),
                          RevisionOf(query.after_revision), query.wait.count()),
      .timeout = kCallTimeout + query.wait,
      .max_response_bytes = kMaxAnswerBytes};
  std::string prefix = query.prefix;
  uint64_t generation = GenerationOf(query.after_revision);
  Start(request, [this, listing, prefix, generation, done](const auto& result) {
    std::string step = "watch " + prefix;
    bool answered = result.kind == net::HttpResult::kAnswered;
    bool outdated =
        result.status == net::kHttpGone ||
        (result.status == net::kHttpOk && generation != m_generation);
    if (answered && outdated) {
      // The platform no longer has the changes, or the revision that was asked
      // for stands for another state now.
      ListPage(listing, "");
      return;
    }
    if (result.kind != net::HttpResult::kAnswered ||
        result.status != net::kHttpOk) {
      done(MakeFailure(result, step));
      return;
    }
    done(ParseBody<WatchAnswer>(result, step, m_server, [&](const json& body) {
      WatchAnswer answer{
          .revision = VersionOf(m_generation, body.at("at").get<uint64_t>())};
      for (const json& event : ArrayAt(body, "events")) {
        auto object = ReadChange(event, answer.revision);
        if (!object) {
          ++answer.unreadable;
          continue;
        }
        object->name = FromPlatformName(prefix, object->name);
        if (object->name.starts_with(prefix)) {
          answer.objects.push_back(std::move(*object));
        }
      }
      LogUnreadable(step, answer.unreadable);
      return answer;
    }));
  });
}

}  // namespace filberthollow::platform
