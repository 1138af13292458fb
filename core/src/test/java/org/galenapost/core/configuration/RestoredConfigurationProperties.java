package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.galenapost.core.platform.StoreVersion;

/** The configuration never goes back, whatever copies the store is restored from. */
class RestoredConfigurationProperties {

  private static final ConfigurationKind KIND = ConfigurationKind.GATEWAY;
  private static final String NAME = "main";

  /**
   * What a daemon learns in one step.
   *
   * @param era the era of the store
   * @param revision the revision of the object or of the listing
   * @param content the version stated in the configuration, 0 if the store has none
   * @param isListing whether the step is a full listing
   */
  record Step(long era, long revision, long content, boolean isListing) {}

  @Property
  void contentNeverGoesBack(@ForAll("steps") List<Step> steps) {
    ConfigurationState state = new ConfigurationState(Set.of(KIND));
    List<Long> applied = new ArrayList<>();
    state.onChange(record -> applied.add(ContentVersions.of(record)));
    long highest = 0;

    for (Step step : steps) {
      apply(state, step);
      highest = Math.max(highest, step.content());
      assertThat(state.contentVersion(KIND)).isEqualTo(highest);
    }

    assertThat(applied).isSorted();
  }

  @Example
  void daemonWithRestoredConfigurationLearnsTheNewerOneFromPeer() {
    ConfigurationState peer = new ConfigurationState(Set.of(KIND));
    apply(peer, new Step(1, 20, 12, true));
    apply(peer, new Step(2, 15, 11, true));
    ConfigurationState started = new ConfigurationState(Set.of(KIND));
    apply(started, new Step(2, 16, 11, true));

    peer.objects(KIND).forEach(started::merge);

    assertThat(started.contentVersion(KIND)).isEqualTo(12);
    assertThat(started.completeRevision(KIND)).isEqualTo(StoreVersion.of(2, 16));
  }

  @Example
  void changeOfTheNewEraFollowsAlthoughItsRevisionIsLower() {
    ConfigurationState state = new ConfigurationState(Set.of(KIND));
    apply(state, new Step(1, 90, 12, true));
    apply(state, new Step(2, 40, 11, true));

    apply(state, new Step(2, 41, 13, false));

    assertThat(state.contentVersion(KIND)).isEqualTo(13);
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Long> eras = Arbitraries.longs().between(1, 4);
    Arbitrary<Long> revisions = Arbitraries.longs().between(1, 60);
    Arbitrary<Long> contents = Arbitraries.longs().between(1, 30);
    Arbitrary<Boolean> listings = Arbitraries.of(true, false);
    return Combinators.combine(eras, revisions, contents, listings)
        .as(Step::new)
        .list()
        .ofMaxSize(30);
  }

  private static void apply(ConfigurationState state, Step step) {
    long version = StoreVersion.of(step.era(), step.revision());
    List<ConfigurationRecord> records =
        List.of(
            new ConfigurationRecord(
                KIND, NAME, version, Optional.of("{\"version\":" + step.content() + "}")));
    if (step.isListing()) {
      state.merge(new KindUpdate(KIND, 0, version, true, records));
    } else {
      state.merge(new KindUpdate(KIND, state.completeRevision(KIND), version, false, records));
    }
  }
}
