// The content of files as a process sees it, and after a loss of power.
#include "simulate/simulated_volume.hpp"

#include <algorithm>

namespace mothwalk::simulate {

namespace {
// What a loss of power leaves of a write that was not synced.
enum class WriteFate { complete, torn, missing };

WriteFate random_fate(RandomSource& random) {
  return static_cast<WriteFate>(random.below(3));
}

void overwrite(Bytes& content, std::size_t offset, StringView bytes) {
  if (content.size() < offset + bytes.size()) content.resize(offset + bytes.size(), '\0');
  content.replace(offset, bytes.size(), bytes);
}
}  // namespace

void SimulatedVolume::set_name(const std::string& name, FilePointer file) {
  unsynced_names_.push_back(NameChange{name, file});
  if (file)
    names_[name] = std::move(file);
  else
    names_.erase(name);
}

bool SimulatedVolume::open(const std::string& file) {
  return names_.contains(file) || create(file);
}

Result<Bytes> SimulatedVolume::read(const std::string& file) {
  auto found = names_.find(file);
  if (unreadable || found == names_.end())
    return Error{ErrorKind::damaged, "data_folder", "the records can't be read", "check the disk"};
  return found->second->content;
}

bool SimulatedVolume::create(const std::string& file) {
  if (!begin_operation()) return false;
  if (names_.contains(file)) set_name(file, nullptr);
  set_name(file, std::make_shared<File>());
  return true;
}

bool SimulatedVolume::remove(const std::string& file) {
  if (!begin_operation() || !names_.contains(file)) return false;
  set_name(file, nullptr);
  return true;
}

bool SimulatedVolume::write(const std::string& file, StringView bytes) {
  auto found = names_.find(file);
  if (!begin_operation() || found == names_.end()) return false;
  File& target = *found->second;
  const std::size_t used = total();
  const std::size_t room = capacity == 0 ? bytes.size() : capacity - std::min(used, capacity);
  const StringView fitting = bytes.substr(0, std::min(room, bytes.size()));
  target.unsynced.push_back(Change{target.content.size(), Bytes(fitting), false});
  target.content += fitting;
  return fitting.size() == bytes.size();
}

bool SimulatedVolume::truncate(const std::string& file, std::size_t size) {
  auto found = names_.find(file);
  if (!begin_operation() || found == names_.end()) return false;
  File& target = *found->second;
  target.content.resize(std::min(target.content.size(), size));
  target.unsynced.push_back(Change{size, {}, true});
  return true;
}

bool SimulatedVolume::sync(const std::string& file) {
  auto found = names_.find(file);
  if (!begin_operation() || sync_failing || found == names_.end()) return false;
  File& target = *found->second;
  for (const Change& change : target.unsynced) apply_change(change, target.synced);
  target.unsynced.clear();
  return true;
}

void SimulatedVolume::apply_change(const Change& change, Bytes& content) {
  if (change.truncates)
    content.resize(std::min(content.size(), change.offset));
  else
    overwrite(content, change.offset, change.bytes);
}

bool SimulatedVolume::rename(const std::string& from, const std::string& to) {
  auto found = names_.find(from);
  if (!begin_operation() || found == names_.end()) return false;
  set_name(to, found->second);
  set_name(from, nullptr);
  return true;
}

bool SimulatedVolume::sync_folder() {
  if (!begin_operation()) return false;
  synced_names_ = names_;
  unsynced_names_.clear();
  return true;
}

void SimulatedVolume::lose_power(File& file, RandomSource& random) {
  file.content = file.synced;
  for (const auto& change : file.unsynced) {
    const WriteFate fate = random_fate(random);
    if (fate == WriteFate::missing) continue;
    if (change.truncates) {
      apply_change(change, file.content);
      continue;
    }
    // Pages reach the disk in any order: any part of a torn write may be stored, with a hole before it.
    const std::size_t size = change.bytes.size();
    const std::size_t first = fate == WriteFate::torn ? random.below(size + 1) : 0;
    const std::size_t length = fate == WriteFate::torn ? random.below(size - first + 1) : size;
    overwrite(file.content, change.offset + first, StringView(change.bytes).substr(first, length));
  }
  file.synced = file.content;
  file.unsynced.clear();
}

void SimulatedVolume::lose_power(RandomSource& random) {
  names_ = synced_names_;
  for (auto& change : unsynced_names_) {
    if (random.below(2) == 0) continue;
    if (change.file)
      names_[change.name] = change.file;
    else
      names_.erase(change.name);
  }
  std::set<File*> seen;
  for (auto& [name, file] : names_)
    if (seen.insert(file.get()).second) lose_power(*file, random);
  synced_names_ = names_;
  unsynced_names_.clear();
  stop_after = UINT64_MAX;
}

void SimulatedVolume::wipe() {
  names_.clear();
  synced_names_.clear();
  unsynced_names_.clear();
}

void SimulatedVolume::damage(const std::string& file, std::size_t at) {
  auto found = names_.find(file);
  if (found == names_.end() || at >= found->second->content.size()) return;
  for (Bytes* bytes : {&found->second->content, &found->second->synced})
    if (at < bytes->size()) (*bytes)[at] = static_cast<char>((*bytes)[at] ^ 0x5a);
}

std::size_t SimulatedVolume::size(const std::string& file) const {
  auto found = names_.find(file);
  return found == names_.end() ? 0 : found->second->content.size();
}

std::size_t SimulatedVolume::total() const {
  std::size_t bytes = 0;
  for (const auto& [name, file] : names_) bytes += file->content.size();
  return bytes;
}

}  // namespace mothwalk::simulate
