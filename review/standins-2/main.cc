// The stand-ins of the cases 6 to 8 and the drivers of those that are scripts.
//   review2 store IP:PORT
//   review2 minion ID LISTEN ADDRESS STORE SERVICE ZONE RACK LOG
//   review2 proxy LISTEN TARGET
//   review2 CASE FOLDER RECORD
// A case ends with 0 if its rule held, 1 if it was broken, 2 if it could not
// run. With TROUBLE=0 in the environment the disruption is left out.

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "cases.h"
#include "minion.h"
#include "proxy.h"
#include "store.h"

namespace {

constexpr int kCouldNotRun = 2;

[[noreturn]] void WaitForEver() {
  while (true) std::this_thread::sleep_for(std::chrono::hours(1));
}

int RunCase(const std::string& name, const std::vector<std::string>& words) {
  static const std::map<std::string, int (*)(const review::CaseSettings&)>
      cases = {{"wide", review::RunWide},
               {"twin", review::RunTwin},
               {"foreign", review::RunForeign}};
  const auto found = cases.find(name);
  if (found == cases.end() || words.size() < 4) return kCouldNotRun;
  const char* const trouble = std::getenv("TROUBLE");
  review::CaseSettings settings;
  settings.program = words[0];
  settings.folder = words[2];
  settings.record = words[3];
  settings.trouble = trouble == nullptr || std::string(trouble) != "0";
  return found->second(settings);
}

}  // namespace

int main(int count, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> words(arguments, arguments + count);
  if (count < 3) return kCouldNotRun;
  if (words[1] == "store") {
    review::Store store(words[2]);
    WaitForEver();
  }
  if (words[1] == "proxy" && count >= 4) {
    review::RunProxy(words[2], words[3]);
    WaitForEver();
  }
  if (words[1] == "minion" && count >= 10) {
    review::MinionOptions options;
    options.id = words[2];
    options.listen = words[3];
    options.address = words[4];
    options.store = words[5];
    options.service = words[6];
    options.zone = words[7];
    options.rack = words[8];
    options.log = words[9];
    review::Minion minion(options);
    minion.Report();
  }
  return RunCase(words[1], words);
}
