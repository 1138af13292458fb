package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ConfigurationStateProperties {

  private static final ConfigurationKind KIND = ConfigurationKind.PROFILE;
  private static final int NAMES = 4;

  @Property(seed = "5101", tries = 400)
  void neverRevertsAndConvergesWhateverTheOrderOfReports(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int writes) {
    // GIVEN a history of writes and deletions, and reports of it in any order, some repeated
    Random random = new Random(seed);
    List<Map<String, ConfigurationRecord>> history = history(random, writes);
    List<Object> reports = reports(random, history);
    ConfigurationState state = new ConfigurationState();
    Map<String, Long> highestSeen = new HashMap<>();

    // WHEN each report arrives
    for (Object report : reports) {
      apply(state, report);

      // THEN no object falls back to a lower version
      for (ConfigurationRecord object : state.objects(KIND)) {
        assertThat(object.version())
            .isGreaterThanOrEqualTo(highestSeen.getOrDefault(object.name(), 0L));
        highestSeen.put(object.name(), object.version());
        assertNoLaterChangeWasSeen(state, history, object);
      }
    }

    // THEN after the newest full report the state is the newest one
    apply(state, full(history, writes));
    Map<String, ConfigurationRecord> newest = history.get(writes);
    assertThat(state.objects(KIND)).containsExactlyInAnyOrderElementsOf(newest.values());
  }

  @Property(seed = "5102", tries = 400)
  void peerCatchesUpFromAnyRevision(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int writes) {
    // GIVEN a daemon that followed every change and a peer that stopped at some revision
    Random random = new Random(seed);
    List<Map<String, ConfigurationRecord>> history = history(random, writes);
    ConfigurationState leader = new ConfigurationState();
    ConfigurationState peer = new ConfigurationState();
    int stop = random.nextInt(writes + 1);
    leader.merge(full(history, 0));
    for (int revision = 1; revision <= writes; revision++) {
      leader.merge(delta(history, revision - 1, revision));
    }
    peer.merge(full(history, stop));

    // WHEN the peer pulls
    peer.merge(leader.changesSince(KIND, peer.completeRevision(KIND)));

    // THEN both hold the same objects
    assertThat(peer.objects(KIND)).containsExactlyInAnyOrderElementsOf(leader.objects(KIND));
    assertThat(peer.completeRevision(KIND)).isEqualTo(writes);
  }

  /** A later write or deletion that was seen must not be undone by an older report. */
  private static void assertNoLaterChangeWasSeen(
      ConfigurationState state,
      List<Map<String, ConfigurationRecord>> history,
      ConfigurationRecord object) {
    for (int version = (int) object.version() + 1; version < history.size(); version++) {
      ConfigurationRecord before = history.get(version - 1).get(object.name());
      ConfigurationRecord after = history.get(version).get(object.name());
      boolean isChange = before != after;
      if (isChange) {
        assertThat(state.completeRevision(KIND)).isLessThan(version);
      }
    }
  }

  private static void apply(ConfigurationState state, Object report) {
    if (report instanceof KindUpdate update) {
      state.merge(update);
    } else {
      state.merge((ConfigurationRecord) report);
    }
  }

  /** Returns the objects after each revision, from 0. */
  private static List<Map<String, ConfigurationRecord>> history(Random random, int writes) {
    List<Map<String, ConfigurationRecord>> history = new ArrayList<>();
    history.add(Map.of());
    for (int version = 1; version <= writes; version++) {
      Map<String, ConfigurationRecord> next = new HashMap<>(history.get(version - 1));
      String name = "p" + random.nextInt(NAMES);
      if (random.nextInt(3) == 0) {
        next.remove(name);
      } else {
        next.put(name, new ConfigurationRecord(KIND, name, version, Optional.of("{}")));
      }
      history.add(next);
    }
    return history;
  }

  private static List<Object> reports(
      Random random, List<Map<String, ConfigurationRecord>> history) {
    List<Object> reports = new ArrayList<>();
    int newest = history.size() - 1;
    for (int i = 0; i < 3 * history.size(); i++) {
      int to = random.nextInt(newest + 1);
      int from = random.nextInt(to + 1);
      switch (random.nextInt(3)) {
        case 0 -> reports.add(full(history, to));
        case 1 -> reports.add(delta(history, from, to));
        default -> reports.addAll(history.get(to).values());
      }
    }
    return reports;
  }

  private static KindUpdate full(List<Map<String, ConfigurationRecord>> history, int revision) {
    return new KindUpdate(KIND, 0, revision, true, List.copyOf(history.get(revision).values()));
  }

  private static KindUpdate delta(
      List<Map<String, ConfigurationRecord>> history, int since, int revision) {
    List<ConfigurationRecord> records = new ArrayList<>();
    history.get(revision).values().stream().filter(r -> r.version() > since).forEach(records::add);
    for (int n = 0; n < NAMES; n++) {
      String name = "p" + n;
      int last = revision;
      boolean wasThere =
          history.subList(since, last + 1).stream().anyMatch(state -> state.containsKey(name));
      if (wasThere && !history.get(last).containsKey(name)) {
        records.add(ConfigurationRecord.deleted(KIND, name, revision));
      }
    }
    return new KindUpdate(KIND, since, revision, false, records);
  }
}
