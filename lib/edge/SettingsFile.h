// Detects changes of the settings file of a running instance, and reads it.

#ifndef CHICORYBANK_LIB_EDGE_SETTINGSFILE_H
#define CHICORYBANK_LIB_EDGE_SETTINGSFILE_H

#include "chicorybank/edge/Settings.h"

#include <sys/stat.h>

namespace chicory::edge {

/// Watches one file by its state. It does not depend on SIGHUP: files may
/// change without a signal, and a signal may arrive without a change.
class SettingsFile {
public:
  explicit SettingsFile(std::string path) : Path(std::move(path)) {
    LastState = currentState();
  }

  /// Returns true once after each change of the file.
  bool changed();
  /// Reads the file. Adds every error in it to `findings`.
  std::optional<EdgeSettings> read(Findings &findings) const;

private:
  struct FileState {
    ino_t Inode = 0;
    off_t Size = 0;
    int64_t Seconds = 0;
    int64_t Nanoseconds = 0;
    bool operator==(const FileState &) const = default;
  };
  FileState currentState() const;

  std::string Path;
  FileState LastState;
};

} // namespace chicory::edge

#endif
