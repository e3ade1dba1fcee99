#include "filberthollow/lab/engine.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <utility>

#include "filberthollow/base/ids.h"

namespace filberthollow::lab {

void Engine::At(base::Millis time, Action action) {
  m_queue.push({std::max(time, m_now), m_next_order++, std::move(action)});
}

void Engine::RunUntil(base::Millis end) {
  while (!m_queue.empty() && m_queue.top().time <= end) {
    Action action = m_queue.top().action;
    m_now = m_queue.top().time;
    m_queue.pop();
    ++m_events;
    action();
  }
  m_now = std::max(m_now, end);
}

RandomStream::RandomStream(uint64_t seed, std::string_view name)
    : m_generator(base::HashBytes(name, seed)) {}

double RandomStream::Uniform() {
  return boost::random::uniform_01<double>()(m_generator);
}

size_t RandomStream::Index(size_t size) {
  return boost::random::uniform_int_distribution<size_t>(0,
                                                         size - 1)(m_generator);
}

double RandomStream::Exponential(double mean) {
  return boost::random::exponential_distribution<double>(1 / mean)(m_generator);
}

double RandomStream::LogNormal(double mean, double spread) {
  double variance = std::log(1 + spread * spread);
  return boost::random::lognormal_distribution<double>(
      std::log(mean) - variance / 2, std::sqrt(variance))(m_generator);
}

}  // namespace filberthollow::lab
