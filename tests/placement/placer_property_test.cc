#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "placement/zone_model.h"

namespace rc {

template <>
struct Arbitrary<chivewing::RandomEvent> {
  static Gen<chivewing::RandomEvent> arbitrary() {
    using chivewing::RandomEvent;
    constexpr unsigned limit = 1U << 16U;
    return gen::build<RandomEvent>(
        gen::set(&RandomEvent::kind, gen::inRange(0U, 16U)),
        gen::set(&RandomEvent::first, gen::inRange(0U, limit)),
        gen::set(&RandomEvent::second, gen::inRange(0U, limit)));
  }
};

template <>
inline void show(const chivewing::RandomEvent& value, std::ostream& os) {
  os << "{" << value.kind << "," << value.first << "," << value.second << "}";
}

}  // namespace rc

namespace chivewing {
namespace {

std::vector<RandomEvent> Events(std::size_t count) {
  constexpr int full_range = 100;
  return *rc::gen::resize(
      static_cast<int>(count),
      rc::gen::container<std::vector<RandomEvent>>(
          rc::gen::resize(full_range, rc::gen::arbitrary<RandomEvent>())));
}

RC_GTEST_PROP(PlacerProperty, HoldsThroughRandomEvents, ()) {
  ZoneModel model;
  for (const RandomEvent& event : Events(300)) model.Apply(event);
}

RC_GTEST_PROP(PlacerProperty, HoldsWithTheIndexOfWorkers, ()) {
  PlacerOptions options;
  options.min_workers_for_index = 0;
  ZoneModel model(options);
  for (const RandomEvent& event : Events(300)) model.Apply(event);
}

RC_GTEST_PROP(PlacerProperty, FinishesAllThatFitsOnceFaultsEnd, ()) {
  ZoneModel model;
  for (const RandomEvent& event : Events(60)) model.Apply(event);
  const auto unfinished = model.RunToCompletion();
  RC_ASSERT(unfinished == std::vector<std::string>());
}

}  // namespace
}  // namespace chivewing
