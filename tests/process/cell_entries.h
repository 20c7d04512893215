#pragma once

// Catalogue entries that the tests of whole cells share.
namespace chivewing::cell_entries {

inline constexpr const char* kReveal =
    R"({"name":"hint-reveal","owner":"puzzles",
  "class":"service","limits":{"processors":2,"memory_mb":512,"instances":3},
  "policy":{"deadline_ms":3000,"request_timeout_ms":500,"longest_run_ms":1000,
            "idempotent":true}})";
inline constexpr const char* kNotice =
    R"({"name":"notice-post","owner":"hauliers",
  "class":"service","limits":{"processors":2,"memory_mb":512,"instances":3},
  "policy":{"deadline_ms":3000,"request_timeout_ms":1000,"longest_run_ms":2000,
            "idempotent":false}})";

}  // namespace chivewing::cell_entries
