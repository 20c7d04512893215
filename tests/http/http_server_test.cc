#include "http/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <optional>

#include "base/time.h"
#include "http/scripted_server.h"
#include "standins/blocking_http.h"
#include "standins/loopback_socket.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

// A server that responds to each request at once with the request's own body.
class EchoServer {
 public:
  explicit EchoServer(HttpServerOptions options) : server_(std::move(options)) {
    const Status started = server_.Start([this](const HttpServerRequest& call) {
      ++calls_;
      server_.Respond(call.id, {.body = call.body});
    });
    EXPECT_TRUE(started);
  }

  std::string Url(const std::string& path) const {
    return LoopbackUrl(server_.port(), path);
  }
  HttpServer& server() { return server_; }
  int calls() const { return calls_; }

 private:
  std::atomic<int> calls_{0};
  HttpServer server_;
};

TEST(HttpServerTest, PassesTheWholeRequestToTheHandler) {
  HttpServer server({});
  std::optional<HttpServerRequest> seen;
  ASSERT_TRUE(server.Start([&](const HttpServerRequest& call) {
    seen = call;
    server.Respond(
        call.id,
        {.status = 201, .body = "made", .headers = {{"X-Request-Id", "7"}}});
  }));
  const HttpResponse answer =
      Call("PUT", LoopbackUrl(server.port(), "/a%20b?prefix=p&prefix=q&n=1"),
           "text", {{"X-Host", "h1"}});
  EXPECT_EQ(answer.status, 201);
  EXPECT_EQ(answer.body, "made");
  EXPECT_EQ(answer.Header("x-request-id"), "7");
  ASSERT_TRUE(seen.has_value());
  EXPECT_EQ(seen->method, "PUT");
  EXPECT_EQ(seen->path, "/a b");
  EXPECT_EQ(seen->body, "text");
  EXPECT_EQ(seen->Header("x-host"), "h1");
  EXPECT_EQ(seen->query.count("prefix"), 2U);
  EXPECT_EQ(seen->Query("n"), "1");
}

TEST(HttpServerTest, RespondsFromAnotherThreadAndIgnoresASecondResponse) {
  HttpServer server({.threads = 2});
  std::promise<std::uint64_t> called;
  ASSERT_TRUE(server.Start(
      [&](const HttpServerRequest& call) { called.set_value(call.id); }));
  std::thread answering([&] {
    const std::uint64_t id = called.get_future().get();
    server.Respond(id, {.body = "first"});
    server.Respond(id, {.body = "second"});
    server.Respond(id + 100, {.body = "nobody's"});
  });
  EXPECT_EQ(Get(LoopbackUrl(server.port(), "/")).body, "first");
  answering.join();
}

struct KeyCase {
  const char* name;
  const char* header;
  int status;
};

class BearerKeyTest : public testing::TestWithParam<KeyCase> {};

TEST_P(BearerKeyTest, AcceptsOnlyTheKey) {
  EchoServer echo({.bearer_key = "s3cret"});
  std::vector<HttpHeader> headers;
  if (*GetParam().header != '\0') {
    headers.push_back({"Authorization", GetParam().header});
  }
  const HttpResponse answer = Post(echo.Url("/"), "body", std::move(headers));
  EXPECT_EQ(answer.status, GetParam().status);
  EXPECT_EQ(echo.calls(), GetParam().status == 200 ? 1 : 0);
  if (answer.status != 200) {
    EXPECT_NE(answer.body.find("\"code\":106"), std::string::npos);
    EXPECT_EQ(answer.body.find("s3cret"), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Keys, BearerKeyTest,
    testing::Values(KeyCase{"Right", "Bearer s3cret", 200},
                    KeyCase{"None", "", 401},
                    KeyCase{"Wrong", "Bearer s3creT", 401},
                    KeyCase{"Short", "Bearer s3cre", 401},
                    KeyCase{"Long", "Bearer s3cret1", 401},
                    KeyCase{"Twice", "Bearer s3crets3cret", 401},
                    KeyCase{"Empty", "Bearer ", 401},
                    KeyCase{"NoScheme", "s3cret", 401},
                    KeyCase{"OtherScheme", "Basic s3cret", 401}),
    [](const auto& each) { return each.param.name; });

struct BytesCase {
  const char* name;
  std::string sent;
  const char* status;  // start of the response; "" for a close without one
};

class ServerBytesTest : public testing::TestWithParam<BytesCase> {};

TEST_P(ServerBytesTest, MalformedRequestsNeverReachTheHandler) {
  EchoServer echo({.max_body_bytes = 64,
                   .max_header_bytes = 2048,
                   .idle_timeout = milliseconds(500)});
  const int fd = ConnectTo(echo.server().port());
  WriteAll(fd, GetParam().sent);
  shutdown(fd, SHUT_WR);
  const std::string answer = ReadUntil(fd, "");
  close(fd);
  const std::string wanted = GetParam().status;
  EXPECT_EQ(answer.substr(0, wanted.size()), wanted);
  if (wanted.empty()) {
    EXPECT_EQ(answer, "");
  }
  EXPECT_EQ(echo.calls(), 0);
  // The server still serves other connections.
  EXPECT_EQ(Post(echo.Url("/"), "next").body, "next");
}

INSTANTIATE_TEST_SUITE_P(
    Bytes, ServerBytesTest,
    testing::Values(
        BytesCase{"Garbage", "\x01\x02\x03 garbage\r\n\r\n", "HTTP/1.1 400"},
        BytesCase{"NoHost", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
        BytesCase{"BadLength",
                  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: no\r\n\r\n",
                  "HTTP/1.1 400"},
        BytesCase{"BadChunk",
                  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                  "\r\n\r\nzz\r\nbody\r\n",
                  "HTTP/1.1 400"},
        BytesCase{"HugeHeader",
                  "GET / HTTP/1.1\r\nHost: x\r\nX-Big: " +
                      std::string(100000, 'a') + "\r\n\r\n",
                  "HTTP/1.1 431"},
        BytesCase{"Oversized",
                  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n" +
                      std::string(65, 'a'),
                  "HTTP/1.1 413"},
        BytesCase{"OversizedChunks",
                  "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                  "\r\n\r\n41\r\n" +
                      std::string(65, 'a') + "\r\n0\r\n\r\n",
                  "HTTP/1.1 413"},
        BytesCase{"FarOversized",
                  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n"
                  "\r\n" +
                      std::string(2000, 'a'),
                  ""},
        BytesCase{"HalfBody",
                  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nab",
                  ""}),
    [](const auto& each) { return each.param.name; });

TEST(HttpServerTest, OversizedBodyIsRejectedWithItsResultCode) {
  EchoServer echo({.max_body_bytes = 10});
  const HttpResponse answer = Post(echo.Url("/"), "eleven byte");
  EXPECT_EQ(answer.status, 413);
  EXPECT_NE(answer.body.find("\"code\":101"), std::string::npos);
  EXPECT_EQ(echo.calls(), 0);
}

struct SlowCase {
  const char* name;
  std::string start;
  std::string drip;  // sent repeatedly until the server closes
};

class SlowSenderTest : public testing::TestWithParam<SlowCase> {};

TEST_P(SlowSenderTest, IsClosedByTheIdleTimeout) {
  EchoServer echo({.idle_timeout = milliseconds(100)});
  const int fd = ConnectTo(echo.server().port());
  WriteAll(fd, GetParam().start);
  const timeval pause{.tv_sec = 0, .tv_usec = 10000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &pause, sizeof(pause));
  char byte = 0;
  while (recv(fd, &byte, 1, 0) < 0 && errno == EAGAIN) {
    WriteAll(fd, GetParam().drip);
  }
  close(fd);
  EXPECT_EQ(echo.server().counts().timed_out, 1U);
  EXPECT_EQ(echo.calls(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Senders, SlowSenderTest,
    testing::Values(SlowCase{"Silent", "", ""},
                    SlowCase{"SilentInHeaders", "GET / HT", ""},
                    SlowCase{"DripsHeaders", "GET / HTTP/1.1\r\nX-Slow: ", "a"},
                    SlowCase{"DripsBody",
                             "POST / HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: 100000\r\n\r\n",
                             "a"}),
    [](const auto& each) { return each.param.name; });

TEST(HttpServerTest, AddressInUseIsReportedAndFreeAgainAfterStop) {
  HttpServer first({});
  ASSERT_TRUE(first.Start([](const HttpServerRequest&) {}));
  const std::string address = "127.0.0.1:" + std::to_string(first.port());
  HttpServer second({.address = address});
  const Status refused = second.Start([](const HttpServerRequest&) {});
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ResultCode::kAddressInUse);
  const int open = ConnectTo(first.port());
  first.Stop();
  EXPECT_TRUE(second.Start([](const HttpServerRequest&) {}));
  close(open);
}

class BadAddressTest : public testing::TestWithParam<const char*> {};

TEST_P(BadAddressTest, IsABadSetting) {
  HttpServer server({.address = GetParam()});
  const Status refused = server.Start([](const HttpServerRequest&) {});
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().code, ResultCode::kBadSettings);
}

INSTANTIATE_TEST_SUITE_P(Addresses, BadAddressTest,
                         testing::Values("", "127.0.0.1", "localhost:1",
                                         "127.0.0.1:70000", "127.0.0.1:x",
                                         "192.0.2.1:1"));

TEST(HttpServerTest, StopRespondsToPendingRequestsAsUnknown) {
  HttpServer server({});
  std::promise<void> called;
  ASSERT_TRUE(
      server.Start([&](const HttpServerRequest&) { called.set_value(); }));
  std::thread stopping([&] {
    called.get_future().wait();
    server.Stop();
  });
  const HttpResponse answer = Get(LoopbackUrl(server.port(), "/"));
  stopping.join();
  EXPECT_EQ(answer.status, 504);
  EXPECT_NE(answer.body.find("\"outcome\":\"unknown\""), std::string::npos);
}

TEST(HttpServerTest,
     StopAcceptingKeepsPendingRequestsAndRejectsNewConnections) {
  HttpServer server({});
  std::promise<std::uint64_t> called;
  ASSERT_TRUE(server.Start(
      [&](const HttpServerRequest& call) { called.set_value(call.id); }));
  const std::string url = LoopbackUrl(server.port(), "/");
  std::thread answering([&] {
    const std::uint64_t id = called.get_future().get();
    server.StopAccepting();
    EXPECT_EQ(Get(url).error, HttpError::kConnect);
    server.Respond(id, {.body = "finished"});
  });
  HttpClient client;
  const HttpResponse answer = SendAndWait(client, {.url = url});
  answering.join();
  EXPECT_EQ(answer.body, "finished");
  EXPECT_EQ(answer.Header("connection"), "close");
}

// Guards against a crash at Stop while connections open and close:
// libmicrohttpd's own threads abort the process when one of them and the
// stopping thread remove the listening socket at the same time.
TEST(HttpServerTest, StopsWhileConnectionsComeAndGo) {
  for (int round = 0; round < 40; ++round) {
    HttpServer server({.threads = 2});
    ASSERT_TRUE(server.Start(
        [&](const HttpServerRequest& call) { server.Respond(call.id, {}); }));
    const std::string url = LoopbackUrl(server.port(), "/");
    std::atomic<bool> over{false};
    std::vector<std::thread> callers;
    callers.reserve(3);
    for (int i = 0; i < 3; ++i) {
      callers.emplace_back([&] {
        HttpClient client;
        while (!over)
          SendAndWait(client, {.url = url, .force_new_connection = true});
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(round % 10));
    server.StopAccepting();
    server.Stop();
    over = true;
    for (std::thread& caller : callers) caller.join();
    EXPECT_EQ(server.counts().open_connections, 0U);
  }
}

// A response given by another thread, or a body that arrives in several pieces,
// must be processed at once and not wait for an unrelated event to wake the
// server.
struct PromptCase {
  const char* name;
  std::size_t body_bytes;
  milliseconds answered_after;
  bool fresh_connection;
};

class PromptAnswerTest : public ::testing::TestWithParam<PromptCase> {};

TEST_P(PromptAnswerTest, ComesWithoutDelay) {
  const PromptCase& given = GetParam();
  HttpServer server({});
  std::mutex mutex;
  std::condition_variable wake;
  std::vector<std::uint64_t> calls;
  bool over = false;
  std::thread answering([&] {
    std::unique_lock lock(mutex);
    while (!over) {
      wake.wait(lock, [&] { return over || !calls.empty(); });
      const std::vector<std::uint64_t> taken = std::exchange(calls, {});
      lock.unlock();
      std::this_thread::sleep_for(given.answered_after);
      for (const std::uint64_t id : taken) server.Respond(id, {.body = "ok"});
      lock.lock();
    }
  });
  ASSERT_TRUE(server.Start([&](const HttpServerRequest& call) {
    const std::lock_guard lock(mutex);
    calls.push_back(call.id);
    wake.notify_all();
  }));
  HttpClient client;
  for (int i = 0; i < 100; ++i) {
    const TimePoint sent = BootClock::now();
    const HttpResponse answer =
        SendAndWait(client, {.method = "POST",
                             .url = LoopbackUrl(server.port(), "/"),
                             .body = std::string(given.body_bytes, 'x'),
                             .force_new_connection = given.fresh_connection});
    EXPECT_EQ(answer.body, "ok");
    EXPECT_LT(BootClock::now() - sent, milliseconds(400)) << "call " << i;
  }
  {
    const std::lock_guard lock(mutex);
    over = true;
  }
  wake.notify_all();
  answering.join();
}

INSTANTIATE_TEST_SUITE_P(
    Calls, PromptAnswerTest,
    ::testing::Values(PromptCase{"NoBody", 0, milliseconds(0), false},
                      PromptCase{"NoBodyLater", 0, milliseconds(2), false},
                      PromptCase{"NoBodyFresh", 0, milliseconds(2), true},
                      PromptCase{"Body", 3000, milliseconds(0), false},
                      PromptCase{"BodyLater", 3000, milliseconds(2), true},
                      PromptCase{"Large", 500000, milliseconds(0), false},
                      PromptCase{"LargeLater", 500000, milliseconds(2), true}),
    [](const auto& test) { return std::string(test.param.name); });

TEST(HttpServerTest, TruncatedResponseIsAConnectionError) {
  HttpServer server({});
  ASSERT_TRUE(server.Start([&](const HttpServerRequest& call) {
    server.Respond(call.id, {.body = "whole answer", .truncate_body_after = 5});
  }));
  EXPECT_EQ(Get(LoopbackUrl(server.port(), "/")).error,
            HttpError::kConnectionLost);
}

TEST(HttpServerTest, NumbersConnections) {
  HttpServer server({});
  std::vector<std::uint64_t> numbers;
  ASSERT_TRUE(server.Start([&](const HttpServerRequest& call) {
    numbers.push_back(call.connection);
    server.Respond(call.id, {});
  }));
  HttpClient client;
  const std::string url = LoopbackUrl(server.port(), "/");
  for (const bool fresh : {false, false, true}) {
    SendAndWait(client, {.url = url, .force_new_connection = fresh});
  }
  EXPECT_EQ(numbers, (std::vector<std::uint64_t>{1, 1, 2}));
}

}  // namespace
}  // namespace chivewing
