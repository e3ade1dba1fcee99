#include "filberthollow/settings/process_file.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>

namespace filberthollow::settings {
namespace {

// A temporary file. The destructor removes it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    close(mkstemp(m_path.data()));
    std::ofstream(m_path, std::ios::binary) << text;
  }
  ~TemporaryFile() { unlink(m_path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return m_path; }

 private:
  std::string m_path = "/tmp/filberthollow-file-XXXXXX";
};

BOOST_AUTO_TEST_CASE(AFileIsReadCompletely) {
  for (size_t size :
       {size_t{0}, size_t{1}, size_t{4096}, size_t{10'000}, kMaxFileBytes}) {
    std::string text(size, 'x');
    auto read = ReadFile(TemporaryFile(text).path());
    BOOST_REQUIRE(static_cast<bool>(read));
    BOOST_TEST((*read == text));
  }
}

BOOST_AUTO_TEST_CASE(AFileThatIsTooLargeOrMissingIsAnError) {
  auto large =
      ReadFile(TemporaryFile(std::string(kMaxFileBytes + 1, 'x')).path());
  BOOST_TEST((large.error().code == std::errc::file_too_large));
  BOOST_TEST(large.error().peer.starts_with("/tmp/filberthollow-file-"));
  auto missing = ReadFile("/tmp/filberthollow-no-such-file");
  BOOST_TEST((missing.error().code == std::errc::no_such_file_or_directory));
}

}  // namespace
}  // namespace filberthollow::settings
