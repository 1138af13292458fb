package org.galenapost.daemon.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults of one settings file. */
final class FaultList {

  private final String file;
  private final List<SettingsFault> faults = new ArrayList<>();

  FaultList(String file) {
    this.file = file;
  }

  void add(String path, String expected, String found) {
    faults.add(new SettingsFault(file, path, expected, found));
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  List<SettingsFault> toList() {
    return List.copyOf(faults);
  }
}
