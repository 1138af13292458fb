package org.galenapost.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.testing.FakePlatform;
import org.galenapost.core.testing.FakePlatform.Fault;
import org.junit.jupiter.api.Test;

class ConfigurationWriterTest {

  private static final ConfigurationKind KIND = ConfigurationKind.MODEL;
  private static final String VERSION_ONE = "{\"version\":\"v1\",\"size_bytes\":10}";
  private static final String VERSION_TWO = "{\"version\":\"v2\",\"size_bytes\":10}";

  private final FakePlatform platform = new FakePlatform();
  private final FakePlatform.Client client = platform.newClient();
  private final List<ConfigurationRecord> accepted = new ArrayList<>();
  private final ConfigurationWriter writer = new ConfigurationWriter(client, accepted::add);

  @Test
  void acceptsWriteWhoseAnswerWasLostAfterTheEffect() {
    // GIVEN a platform that takes the write but loses the answer
    client.faultNextWrites(Fault.ANSWER_LOST);

    // WHEN an object is written
    var result = write(0, VERSION_ONE);

    // THEN it is accepted at the version that the platform gave, written once
    assertThat(result.get().version()).isEqualTo(1);
    assertThat(platform.writes()).isEqualTo(1);
    assertThat(accepted).containsExactly(result.get());
  }

  @Test
  void acceptsWriteWhoseFirstTryNeverArrived() {
    // GIVEN a connection that breaks before the platform sees the write
    client.faultNextWrites(Fault.LOST_BEFORE_EFFECT);

    // WHEN an object is written THEN the repeat is accepted
    assertThat(write(0, VERSION_ONE).get().version()).isEqualTo(1);
  }

  @Test
  void reportsConflictingChange() {
    // GIVEN two operators who read the same version
    write(0, VERSION_ONE);
    client.beforeNextWrite(() -> platform.newClient().put(key(), 1, VERSION_TWO));

    // WHEN the second write arrives first
    var result = write(1, "{\"version\":\"v3\",\"size_bytes\":10}");

    // THEN the loser sees the current object and the field that differs
    assertThat(result.getLeft())
        .isInstanceOfSatisfying(
            WriteFailure.Conflict.class,
            conflict -> {
              assertThat(conflict.current().orElseThrow().version()).isEqualTo(2);
              assertThat(conflict.differences())
                  .containsExactly(new FieldDifference("version", "\"v3\"", "\"v2\""));
            });
    assertThat(accepted).hasSize(1);
  }

  @Test
  void reportsUnknownOutcomeAfterLostAnswer() {
    // GIVEN a write whose answer is lost and a platform that is down afterwards
    client.faultNextWrites(Fault.ANSWER_LOST, Fault.REFUSED);

    // WHEN it is written THEN the outcome is unknown, not refused
    assertThat(write(0, VERSION_ONE).getLeft()).isInstanceOf(WriteFailure.OutcomeUnknown.class);
  }

  @Test
  void acceptsDeletionWhoseAnswerWasLost() {
    // GIVEN an object and a lost answer to its deletion
    write(0, VERSION_ONE);
    client.faultNextWrites(Fault.ANSWER_LOST);

    // WHEN it is deleted
    var result = writer.delete(KIND, "m1", 1).toCompletableFuture().join();

    // THEN the deletion is accepted at a revision at which the object is absent
    assertThat(result.get()).isEqualTo(ConfigurationRecord.deleted(KIND, "m1", 2));
  }

  @Test
  void listsEveryFaultAtOnce() {
    // GIVEN a server with four faults
    String json = "{\"ip\":\"engine.example\",\"port\":0,\"kind\":\"toaster\",\"stat\":1}";

    // WHEN it is checked
    var faults = ConfigurationDocuments.faults(ConfigurationKind.SERVER, "s1", json);

    // THEN each is named
    assertThat(faults)
        .extracting(ConfigurationFault::field)
        .contains("ip", "port", "kind", "data_centre", "state", "checks_fencing", "stat");
  }

  private Either<WriteFailure, ConfigurationRecord> write(long expected, String json) {
    return writer.write(KIND, "m1", expected, json).toCompletableFuture().join();
  }

  private static ObjectKey key() {
    return new ObjectKey(KIND.wireName(), "m1");
  }
}
