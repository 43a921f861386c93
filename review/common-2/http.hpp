// A small blocking HTTP/1.1 client and server for the stand-ins of the review: one thread per connection.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  ::inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

// A request or a response.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  bool complete = false;  // The message arrived up to its end.
  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (lower(key) == lower(name)) return value;
    return {};
  }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    const auto begin = first_line.find(' ');
    if (begin == std::string::npos) return {};
    return first_line.substr(begin + 1, first_line.find(' ', begin + 1) - begin - 1);
  }
  int status() const {
    const auto begin = first_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(first_line.c_str() + begin + 1);
  }
};

// One connection. All waits end at the deadline that the caller gives.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }

  // Sends all bytes. The socket is blocking; its send timeout is 10 s.
  bool send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  // Waits for input. Returns false on the end of the connection or at the deadline.
  bool fill(Clock::time_point deadline) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
    pollfd waiting{descriptor_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
    char part[16384];
    const ssize_t count = ::recv(descriptor_, part, sizeof part, 0);
    if (count <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(part, static_cast<std::size_t>(count));
    return true;
  }

  // Whether the peer has closed the connection; bytes that wait are kept for the next read.
  bool peer_closed() {
    char byte = 0;
    const ssize_t count = ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Reads one message with a length, in chunks, or (a response without either) up to the end of the connection.
  Message read(Clock::time_point deadline, bool response) {
    Message message;
    while (buffer_.find("\r\n\r\n") == std::string::npos)
      if (!fill(deadline)) return message;
    const auto head_end = buffer_.find("\r\n\r\n");
    const std::string head = buffer_.substr(0, head_end + 2);
    buffer_.erase(0, head_end + 4);
    std::size_t at = head.find("\r\n");
    message.first_line = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const auto end = head.find("\r\n", at);
      const std::string line = head.substr(at, end - at);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
      }
      at = end + 2;
    }
    if (lower(message.header("Transfer-Encoding")) == "chunked") return read_chunks(std::move(message), deadline);
    const std::string length = message.header("Content-Length");
    if (length.empty() && response) {
      while (fill(deadline)) {}
      message.body = std::exchange(buffer_, {});
      message.complete = ended_;
      return message;
    }
    const std::size_t size = length.empty() ? 0 : static_cast<std::size_t>(std::stoull(length));
    while (buffer_.size() < size)
      if (!fill(deadline)) return message;
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    message.complete = true;
    return message;
  }

 private:
  Message read_chunks(Message message, Clock::time_point deadline) {
    while (true) {
      while (buffer_.find("\r\n") == std::string::npos)
        if (!fill(deadline)) return message;
      const auto line_end = buffer_.find("\r\n");
      const std::size_t size = static_cast<std::size_t>(std::stoull(buffer_.substr(0, line_end), nullptr, 16));
      while (buffer_.size() < line_end + 2 + size + 2)
        if (!fill(deadline)) return message;
      message.body.append(buffer_, line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        message.complete = true;
        return message;
      }
    }
  }

  int descriptor_;
  std::string buffer_;
  bool ended_ = false;
};

// Connects within the time, or returns null.
inline std::unique_ptr<Connection> connect_to(const Endpoint& endpoint, milliseconds timeout) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(descriptor);
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in address = socket_address(endpoint);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return nullptr;
  return connection;
}

inline std::string message_text(const std::string& first_line, const Headers& headers, const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One call on a connection of its own. A status of 0 means that no complete response came in time.
inline Message call(const Endpoint& to, const std::string& method, const std::string& target, const Headers& headers,
                    const std::string& body, milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  auto connection = connect_to(to, timeout);
  if (!connection || !connection->send(message_text(method + " " + target + " HTTP/1.1", headers, body))) return {};
  Message response = connection->read(deadline, true);
  if (!response.complete) response.first_line.clear();
  return response;
}

// Accepts connections and calls the handler for each of them on a thread of its own. The handler ends when it returns
// or when the connection ends; stop() waits for all of them.
class Server {
 public:
  using Handler = std::function<void(Connection&, std::uint64_t number)>;
  ~Server() { stop(); }
  bool start(const Endpoint& endpoint, Handler handler) {
    handler_ = std::move(handler);
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socket_address(endpoint);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener_, 256) != 0)
      return false;
    accepting_ = std::thread([this] { accept_all(); });
    return true;
  }
  void stop() {
    if (stopping_.exchange(true)) return;
    if (accepting_.joinable()) accepting_.join();
    if (listener_ >= 0) ::close(listener_);
    for (auto& thread : threads_) thread.join();
  }
  bool stopping() const { return stopping_; }

 private:
  void accept_all() {
    std::uint64_t number = 0;
    while (!stopping_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (::poll(&waiting, 1, 50) <= 0) continue;
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) continue;
      const int on = 1;
      ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      timeval limit{10, 0};
      ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
      threads_.emplace_back([this, descriptor, number] {
        Connection connection(descriptor);
        handler_(connection, number);
      });
      ++number;
    }
  }

  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread accepting_;
  std::vector<std::thread> threads_;
};

}  // namespace review
