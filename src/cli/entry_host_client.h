#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/result.h"
#include "cli/arguments.h"
#include "cli/blocking_http_call.h"
#include "cli/verb.h"

namespace chivewing {

// Whether a call may be sent again when it is not known to have arrived.
enum class ResendPolicy { kAllowed, kForbidden };

// Calls one of several entry hosts.
class EntryHostClient {
 public:
  EntryHostClient(std::vector<std::string> addresses, std::string key,
                  BlockingHttpCall call);

  // Sends to the first address, and on to each next one once while no address
  // was reached. `url` of the request is a path.
  HttpResponse Send(const HttpRequest& request, ResendPolicy repeat) const;

  // Sends to one address only.
  HttpResponse SendTo(const std::string& address, HttpRequest request) const;

  const std::vector<std::string>& addresses() const { return addresses_; }

 private:
  std::vector<std::string> addresses_;
  std::string key_;  // empty: no Authorization header
  BlockingHttpCall call_;
};

// The options that every verb with a client has.
std::vector<OptionSpec> CallerOptions();    // --address, --timeout-ms
std::vector<OptionSpec> OperatorOptions();  // and --key-file

// Makes a client from the options given.
Result<EntryHostClient> MakeClient(const Arguments& arguments,
                                   const CliEnvironment& hooks);

// The time limit that --timeout-ms asks for.
Result<std::chrono::milliseconds> TimeoutOf(const Arguments& arguments);

}  // namespace chivewing
