#include "http/http_client.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <future>

#include "http/listen_socket.h"
#include "http/scripted_server.h"
#include "standins/blocking_http.h"
#include "standins/loopback_socket.h"

namespace chivewing {
namespace {

using std::chrono::milliseconds;

constexpr int kEach = 20;  // requests to each server
constexpr char kWhole[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Mixed-Case: Yes\r\n\r\nok";

HttpRequest PostTo(int port) {
  return {.method = "POST", .url = LoopbackUrl(port, "/run"), .body = "work"};
}

TEST(HttpClientTest, ReusesAConnectionAndLowercasesHeaderNames) {
  ScriptedServer server([](int fd, std::size_t) {
    WriteAll(fd, kWhole);
    return true;
  });
  HttpClient client;
  for (int i = 0; i < 3; ++i) {
    const HttpResponse answer = SendAndWait(client, PostTo(server.port()));
    EXPECT_EQ(answer.error, HttpError::kNone);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "ok");
    EXPECT_EQ(answer.Header("x-mixed-case"), "Yes");
  }
  EXPECT_EQ(server.connections(), 1U);
  HttpRequest fresh = PostTo(server.port());
  fresh.force_new_connection = true;
  std::promise<HttpResponse> promise;
  client.Send(std::move(fresh), [&](HttpResponse answer) {
    promise.set_value(std::move(answer));
  });
  client.Stop();
  EXPECT_EQ(promise.get_future().get().error, HttpError::kStopped);
}

struct OnceCase {
  const char* name;
  const char* method;
};

class SentOnceTest : public testing::TestWithParam<OnceCase> {};

// Guards against libcurl's own retry: when a reused connection closes without a
// response, libcurl writes the request again to a new connection.
TEST_P(SentOnceTest, RequestIsNotRetriedWhenItsReusedConnectionCloses) {
  ScriptedServer server([](int fd, std::size_t request) {
    if (request != 1) return false;
    WriteAll(fd, kWhole);
    return true;
  });
  HttpClient client;
  ASSERT_TRUE(SendAndWait(client, PostTo(server.port())).ok());
  HttpRequest request = PostTo(server.port());
  request.method = GetParam().method;
  if (request.method == "GET") request.body.clear();
  const HttpResponse answer = SendAndWait(client, std::move(request));
  EXPECT_EQ(answer.error, HttpError::kConnectionLost);
  EXPECT_TRUE(answer.maybe_sent);
  EXPECT_EQ(server.requests(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Methods, SentOnceTest,
                         testing::Values(OnceCase{"Post", "POST"},
                                         OnceCase{"Get", "GET"},
                                         OnceCase{"Put", "PUT"},
                                         OnceCase{"Delete", "DELETE"}),
                         [](const auto& each) { return each.param.name; });

struct AnswerCase {
  const char* name;
  std::string written;  // then the connection is closed
  HttpError fault;
};

class ClientAnswerTest : public testing::TestWithParam<AnswerCase> {};

TEST_P(ClientAnswerTest, IncompleteResponsesAreErrors) {
  ScriptedServer server([](int fd, std::size_t) {
    WriteAll(fd, GetParam().written);
    return false;
  });
  HttpClient client;
  HttpRequest request = PostTo(server.port());
  request.max_response_bytes = 500;
  const HttpResponse answer = SendAndWait(client, std::move(request));
  EXPECT_EQ(answer.error, GetParam().fault) << Name(answer.error);
  EXPECT_TRUE(answer.maybe_sent);
  EXPECT_EQ(server.requests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ClientAnswerTest,
    testing::Values(
        AnswerCase{"Whole", kWhole, HttpError::kNone},
        AnswerCase{"Chunked",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nok\r\n0\r\n\r\n",
                   HttpError::kNone},
        AnswerCase{"AfterContinue",
                   std::string("HTTP/1.1 100 Continue\r\n\r\n") + kWhole,
                   HttpError::kNone},
        AnswerCase{"NoContent", "HTTP/1.1 204 No Content\r\n\r\n",
                   HttpError::kNone},
        AnswerCase{"Nothing", "", HttpError::kConnectionLost},
        AnswerCase{"Garbage", "\x01\x02 no http at all\r\n\r\n",
                   HttpError::kConnectionLost},
        AnswerCase{"CutInHeaders", "HTTP/1.1 200 OK\r\nContent-Le",
                   HttpError::kConnectionLost},
        AnswerCase{"CutInBody",
                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                   HttpError::kConnectionLost},
        AnswerCase{"CutInChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "9\r\nhalf",
                   HttpError::kConnectionLost},
        AnswerCase{"NoLastChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "2\r\nok\r\n",
                   HttpError::kConnectionLost},
        AnswerCase{"LengthNotTold", "HTTP/1.1 200 OK\r\n\r\nmay be cut",
                   HttpError::kConnectionLost},
        AnswerCase{"OnlyContinue", "HTTP/1.1 100 Continue\r\n\r\n",
                   HttpError::kConnectionLost},
        AnswerCase{"Redirect",
                   "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
                   "Content-Length: 0\r\n\r\n",
                   HttpError::kNone},
        AnswerCase{"TooLarge",
                   "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n" +
                       std::string(600, 'x'),
                   HttpError::kTooLarge}),
    [](const auto& each) { return each.param.name; });

TEST(HttpClientTest, ConnectionOfATimedOutRequestIsNotUsedAgain) {
  ScriptedServer server([](int fd, std::size_t request) {
    if (request == 1) {
      // Sends nothing until the client closes the connection.
      pollfd closed{.fd = fd, .events = POLLIN, .revents = 0};
      poll(&closed, 1, -1);
      WriteAll(fd, kWhole);
      return false;
    }
    WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    return true;
  });
  HttpClient client;
  HttpRequest first = PostTo(server.port());
  first.timeout = milliseconds(50);
  const HttpResponse late = SendAndWait(client, std::move(first));
  EXPECT_EQ(late.error, HttpError::kTimeout);
  EXPECT_TRUE(late.maybe_sent);
  EXPECT_EQ(SendAndWait(client, PostTo(server.port())).body, "second");
  EXPECT_EQ(server.connections(), 2U);
}

TEST(HttpClientTest, RequestOnARefusedConnectionIsNotSent) {
  const ListenSocket socket = OpenListenSocket("127.0.0.1:0").value();
  close(socket.fd);
  HttpClient client;
  const HttpResponse answer = SendAndWait(client, PostTo(socket.port));
  EXPECT_EQ(answer.error, HttpError::kConnect);
  EXPECT_FALSE(answer.maybe_sent);
}

class BadUrlTest : public testing::TestWithParam<const char*> {};

TEST_P(BadUrlTest, IsCertainlyNotSent) {
  HttpClient client;
  const HttpResponse answer =
      SendAndWait(client, {.method = "POST", .url = GetParam(), .body = "x"});
  EXPECT_EQ(answer.error, HttpError::kConnect);
  EXPECT_FALSE(answer.maybe_sent);
}

INSTANTIATE_TEST_SUITE_P(Urls, BadUrlTest,
                         testing::Values("", "ftp://127.0.0.1/x",
                                         "https://127.0.0.1/x",
                                         "file:///dev/null",
                                         "http://127.0.0.1:99999/"));

TEST(HttpClientTest, RequestsOverTheLimitOfAHostWaitAndTimeOutUnsent) {
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  ScriptedServer server([released](int fd, std::size_t) {
    released.wait();
    WriteAll(fd, kWhole);
    return true;
  });
  HttpClient client({.max_connections_per_host = 1});
  std::promise<HttpResponse> first;
  client.Send(PostTo(server.port()),
              [&](HttpResponse answer) { first.set_value(std::move(answer)); });
  HttpRequest second = PostTo(server.port());
  second.timeout = milliseconds(50);
  const HttpResponse waited = SendAndWait(client, std::move(second));
  EXPECT_EQ(waited.error, HttpError::kTimeout);
  EXPECT_FALSE(waited.maybe_sent);
  std::promise<HttpResponse> third;
  client.Send(PostTo(server.port()),
              [&](HttpResponse answer) { third.set_value(std::move(answer)); });
  release.set_value();
  EXPECT_TRUE(first.get_future().get().ok());
  EXPECT_TRUE(third.get_future().get().ok());
  EXPECT_EQ(server.requests(), 2U);
}

TEST(HttpClientTest, RequestsOverTheTotalWaitForAnyConnection) {
  const auto answer_ok = [](int fd, std::size_t) {
    WriteAll(fd, kWhole);
    return true;
  };
  ScriptedServer one(answer_ok);
  ScriptedServer two(answer_ok);
  HttpClient client({.max_connections = 1});
  std::atomic<int> done = 0;
  std::promise<void> all;
  for (int i = 0; i < 2 * kEach; ++i) {
    client.Send(PostTo(i % 2 == 0 ? one.port() : two.port()),
                [&](const HttpResponse& answer) {
                  EXPECT_EQ(answer.error, HttpError::kNone);
                  if (++done == 2 * kEach) all.set_value();
                });
  }
  all.get_future().wait();
  EXPECT_EQ(one.requests() + two.requests(), 2U * kEach);
}

TEST(HttpClientTest, FullRingRejectsRequests) {
  HttpClient client({.ring_capacity = 1});
  client.Stop();
  EXPECT_FALSE(client.Send(PostTo(1), [](const HttpResponse&) { FAIL(); }));
}

}  // namespace
}  // namespace chivewing
