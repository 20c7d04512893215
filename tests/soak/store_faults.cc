// Stands before a stand-in of the platform's store and adds faults that the
// script asks for: POST /faults/drop (the history is gone: followers get 410),
// /faults/silent?for_ms=N (followers are told nothing newer for so long), and
// /faults/reset (all connections are reset at once).
//
// Usage: store-faults LISTEN TARGET, both IP:PORT. Callers connect to LISTEN,
// whose connections are carried to an HTTP server that adds the faults.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "base/time.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "standins/timer_thread.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBufferBytes = std::size_t{64} << 10;
constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;
constexpr milliseconds kForwardTimeout{35000};  // over the longest long poll

// Connections that are reset together: all poll the pipe, which hangs up when
// its other end is closed.
struct Generation {
  Generation() {
    if (pipe(ends) != 0) std::abort();
  }
  ~Generation() { close(ends[0]); }
  int ends[2] = {-1, -1};
};

sockaddr_in AddressOf(const std::string& text) {
  const auto colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

void CloseWithReset(int fd) {
  const linger now{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

// Copies both ways until either side ends or the generation is reset.
void Carry(int client, sockaddr_in target,
           const std::shared_ptr<Generation>& group) {
  const int one = 1;
  const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool connected = connect(server, reinterpret_cast<sockaddr*>(&target),
                                 sizeof(target)) == 0;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  pollfd fds[3] = {
      {client, POLLIN, 0}, {server, POLLIN, 0}, {group->ends[0], POLLIN, 0}};
  std::string buffer(kBufferBytes, '\0');
  for (bool open = connected; open;) {
    if (poll(fds, 3, -1) < 0) continue;
    open = fds[2].revents == 0;
    for (int from = 0; from < 2 && open; ++from) {
      if (fds[from].revents == 0) continue;
      const ssize_t got = read(fds[from].fd, buffer.data(), buffer.size());
      open =
          got > 0 && send(fds[1 - from].fd, buffer.data(),
                          static_cast<std::size_t>(got), MSG_NOSIGNAL) == got;
    }
  }
  CloseWithReset(client);
  CloseWithReset(server);
}

class StoreFaults {
 public:
  StoreFaults(const std::string& listen, std::string target)
      : listen_(listen),
        target_(std::move(target)),
        server_({.max_body_bytes = kMaxBodyBytes}) {}

  bool Start() {
    const int one = 1;
    sockaddr_in own = AddressOf(listen_);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof(own)) != 0 ||
        listen(listener, SOMAXCONN) != 0 ||
        !server_.Start([this](const HttpServerRequest& call) { OnCall(call); }))
      return false;
    const sockaddr_in inner =
        AddressOf("127.0.0.1:" + std::to_string(server_.port()));
    std::thread([this, listener, inner] {
      for (;;) {
        const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) continue;
        const std::lock_guard lock(mutex_);
        std::thread(Carry, client, inner, group_).detach();
      }
    }).detach();
    return true;
  }

 private:
  void OnCall(const HttpServerRequest& call) {
    const std::lock_guard lock(mutex_);
    const TimePoint now = BootClock::now();
    if (call.path == "/faults/reset") {
      close(group_->ends[1]);
      group_ = std::make_shared<Generation>();
      server_.Respond(call.id, {.body = "{}"});
    } else if (call.path == "/faults/silent") {
      silent_until_ =
          now + milliseconds(std::stoll(std::string(call.Query("for_ms"))));
      server_.Respond(call.id, {.body = "{}"});
    } else if (call.path == "/faults/drop") {
      history_from_ = newest_;
      server_.Respond(call.id, {.body = "{}"});
    } else if (call.path == "/rows-feed" &&
               std::stoull(std::string(call.Query("after"))) < history_from_) {
      server_.Respond(call.id, {.status = 410, .body = "{}"});
    } else if (call.path == "/rows-feed" && now < silent_until_) {
      const milliseconds wait(std::stoll(std::string(call.Query("waitMs"))));
      const auto left =
          std::chrono::duration_cast<milliseconds>(silent_until_ - now);
      timer_.After(std::min(wait, left),
                   [this, id = call.id,
                    after = std::stoull(std::string(call.Query("after")))] {
                     RespondWithoutRows(id, after);
                   });
    } else {
      Forward(call);
    }
  }

  void RespondWithoutRows(std::uint64_t id, std::uint64_t after) {
    const auto now = std::chrono::duration_cast<milliseconds>(
        BootClock::now().time_since_epoch());
    const nlohmann::json body = {{"rows", nlohmann::json::array()},
                                 {"ver", after},
                                 {"nowMs", now.count()}};
    server_.Respond(id, {.body = body.dump()});
  }

  void Forward(const HttpServerRequest& call) {
    HttpRequest request;
    request.method = call.method;
    request.url = "http://" + target_ + call.path;
    char separator = '?';
    for (const auto& [name, value] : call.query) {
      request.url += separator;
      request.url.append(name).append("=").append(value);
      separator = '&';
    }
    request.body = call.body;
    request.timeout = kForwardTimeout;
    client_.Send(std::move(request), [this,
                                      id = call.id](const auto& response) {
      const auto body = nlohmann::json::parse(response.body, nullptr, false);
      if (body.is_object()) {
        const std::lock_guard lock(mutex_);
        newest_ = std::max(newest_, body.value("ver", std::uint64_t{0}));
      }
      server_.Respond(id, {.status = response.ok() ? response.status : 503,
                           .body = response.body});
    });
  }

  const std::string listen_;
  const std::string target_;
  std::mutex mutex_;
  std::shared_ptr<Generation> group_ = std::make_shared<Generation>();
  std::uint64_t newest_ = 0;        // version that a response has named
  std::uint64_t history_from_ = 0;  // oldest version that can be followed
  TimePoint silent_until_{};
  HttpServer server_;
  HttpClient client_;
  TimerThread timer_;
};

}  // namespace
}  // namespace chivewing

int main(int count, char** arguments) {
  if (count != 3) {
    std::cerr << "usage: store-faults LISTEN TARGET\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  chivewing::StoreFaults faults(arguments[1], arguments[2]);
  if (!faults.Start()) {
    std::cerr << "store-faults: cannot listen\n";
    return 2;
  }
  for (;;) pause();
}
