#include "SettingsFile.h"

#include <fstream>
#include <sstream>

namespace chicory::edge {

SettingsFile::FileState SettingsFile::currentState() const {
  struct stat info {};
  if (::stat(Path.c_str(), &info) != 0)
    return {};
  return {.Inode = info.st_ino,
          .Size = info.st_size,
          .Seconds = info.st_mtim.tv_sec,
          .Nanoseconds = info.st_mtim.tv_nsec};
}

bool SettingsFile::changed() {
  FileState now = currentState();
  // A missing file is being replaced; the next check sees the new one.
  if (now == LastState || now == FileState{})
    return false;
  LastState = now;
  return true;
}

std::optional<EdgeSettings> SettingsFile::read(Findings &findings) const {
  std::ifstream in(Path);
  if (!in) {
    findings.add({.File = Path}, "can't be read");
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return readEdgeSettings(text.str(), Path, findings);
}

} // namespace chicory::edge
