#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/result.h"
#include "cli/arguments.h"
#include "cli/blocking_http_call.h"
#include "cli/verb.h"

namespace chivewing {

// Whether a request that may already have been sent may be sent again.
enum class ResendPolicy { kAllowed, kForbidden };

// Sends requests to one of several entry hosts. Each call blocks until the
// response.
class EntryHostClient {
 public:
  EntryHostClient(std::vector<std::string> addresses, std::string key,
                  BlockingHttpCall call);

  // Sends to the first address, and after a transport error once to each next
  // one. With ResendPolicy::kForbidden it stops once the request may have been
  // sent. `url` of the request is a path.
  HttpResponse Send(const HttpRequest& request, ResendPolicy repeat) const;

  // Sends to the given address only.
  HttpResponse SendTo(const std::string& address, HttpRequest request) const;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  std::vector<std::string> addresses_;
  std::string key_;  // empty: sends no Authorization header
  BlockingHttpCall call_;
};

// Options of every verb that sends requests.
std::vector<OptionSpec> CallerOptions();    // --address, --timeout-ms
std::vector<OptionSpec> OperatorOptions();  // the same and --key-file

// Creates a client from the options. Fails with kBadUsage when an address or
// the key is missing or malformed.
Result<EntryHostClient> MakeClient(const Arguments& arguments,
                                   const CliEnvironment& hooks);

// Returns the value of --timeout-ms, or its default.
Result<std::chrono::milliseconds> TimeoutOf(const Arguments& arguments);

}  // namespace chivewing
