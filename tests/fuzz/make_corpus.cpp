// Writes seed inputs for the targets with binary input: a message of each kind with every field filled, and record
// files.
//   fuzz-corpus FOLDER   creates a folder for each target in FOLDER
#include <filesystem>
#include <fstream>
#include <iostream>

#include "peer_messages.hpp"
#include "replication/record_file.hpp"

using namespace mothwalk;
using namespace mothwalk::fuzz;

namespace {
// Fills every field with a plausible value: names that the tests' cluster has, one element in every list.
template <class T>
void fill(T& value) {
  if constexpr (std::is_same_v<T, std::string>)
    value = "lane/audits";
  else if constexpr (is_strong_string<T>::value)
    value = T("10.0.0.1:7000");
  else if constexpr (is_strong_integer<T>::value)
    value.value = 3;
  else if constexpr (std::is_same_v<T, Duration>)
    value = std::chrono::milliseconds(500);
  else if constexpr (std::is_arithmetic_v<T>)
    value = static_cast<T>(1);
  else if constexpr (is_optional<T>::value)
    fill(value.emplace());
  else if constexpr (is_vector<T>::value)
    fill(value.emplace_back());
  else if constexpr (is_map<T>::value)
    fill(value["model"]);
  else
    value.fields([](StringView, auto& field) { fill(field); });
}

template <class T>
T filled() {
  T value{};
  fill(value);
  return value;
}

void append_uint16(Bytes& out, std::size_t value) {
  out.push_back(static_cast<char>(value >> 8));
  out.push_back(static_cast<char>(value));
}

void save(const std::filesystem::path& folder, const std::string& name, const Bytes& bytes) {
  std::filesystem::create_directories(folder);
  std::ofstream(folder / name, std::ios::binary) << bytes;
}

template <class Message>
void save_message(const std::filesystem::path& folder, std::size_t number) {
  const std::string name(Message::kind);
  const Bytes body = to_cbor(filled<Message>());
  Bytes input{static_cast<char>(number), '\0'};
  append_uint16(input, body.size());
  save(folder / "peer_messages", name, input + body);

  auto envelope = filled<Envelope>();
  envelope.kind = name;
  envelope.slice = envelope.sender = name.substr(0, name.find('.'));
  envelope.body = body;
  const Bytes frame = to_cbor(envelope);
  Bytes head(2, '\0');
  append_uint16(head, frame.size());
  save(folder / "peer_frames", name, head + frame);
}

template <class... Messages>
void save_messages(const std::filesystem::path& folder, MessageTypes<Messages...>) {
  std::size_t number = 0;
  (save_message<Messages>(folder, number++), ...);
}

void save_record_files(const std::filesystem::path& folder) {
  Bytes raw_file(1, '\0'), all_payloads(1, '\1');
  for (const char* kind : {"identity", "roster", "promise", "change", "install", "copies", "handover"}) {
    auto entry = filled<DiskEntry>();
    entry.what = kind;
    const Bytes payload = to_cbor(entry);
    Bytes single_entry(1, '\1');
    append_uint16(single_entry, payload.size());
    save(folder / "record_file", kind, single_entry + payload);
    append_uint16(all_payloads, payload.size());
    all_payloads += payload;
    raw_file += frame_payload(payload);
  }
  save(folder / "record_file", "whole", all_payloads);
  save(folder / "record_file", "raw", raw_file);
}
}  // namespace

int main(int argument_count, char** arguments) {
  if (argument_count != 2) {
    std::cerr << "usage: fuzz-corpus FOLDER\n";
    return 2;
  }
  save_messages(arguments[1], PeerMessages{});
  save_record_files(arguments[1]);
}
