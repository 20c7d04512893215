// Stand-ins of the platform's store, of a minion and of clients, by the users'
// pages, for the scripts of the review.

#include <pthread.h>

#include <csignal>
#include <iostream>
#include <string>

#include "review/standins/event_log.h"
#include "review/standins/options.h"

namespace review {

void WaitForStop() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace review

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const std::string verb = count > 1 ? arguments[1] : "";
  if (verb == "now") {
    std::cout << review::SteadyMs() << "\n";
    return 0;
  }
  if (verb == "ports") {
    return review::RunPorts({count - 2, arguments + 2});
  }
  if (verb == "store") {
    return review::RunStore({count - 2, arguments + 2});
  }
  if (verb == "worker") {
    return review::RunWorker({count - 2, arguments + 2});
  }
  if (verb == "client" && count > 2) {
    return review::RunClient(arguments[2], {count - 3, arguments + 3});
  }
  std::cerr << "usage: review-standin now|ports|store|worker|client WHAT "
               "--option value "
               "...\n";
  return 2;
}
