package org.galenapost.daemon.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DescriptorLimitTest {

  private static final int LIMIT_OF_HOSTS = 4_100;

  @Test
  void readsTheSoftLimit() {
    List<String> lines =
        List.of(
            "Limit                     Soft Limit           Hard Limit           Units     ",
            "Max processes             94810                94810                processes ",
            "Max open files            500                  4096                 files     ");

    assertThat(DescriptorLimit.parse(lines)).isEqualTo(500);
  }

  @Test
  void assumesTheLimitOfTheUsersHostsIfNoneIsStated() {
    List<String> lines = List.of("Max open files            unlimited            unlimited  files");

    assertThat(DescriptorLimit.parse(lines)).isEqualTo(LIMIT_OF_HOSTS);
  }

  /** Servers, daemons, the store and files need the rest. */
  @Test
  void listenersTogetherLeaveAQuarterFree() {
    DescriptorLimit limit = DescriptorLimit.of(LIMIT_OF_HOSTS);

    int taken =
        limit.maxCallerConnections() + 2 * limit.maxAdminConnections() + limit.maxHandshakes();
    assertThat(taken).isLessThanOrEqualTo(LIMIT_OF_HOSTS * 3 / 4);
  }

  /** Each connection takes memory, however many descriptors a host has. */
  @Test
  void handshakesAreBoundedOnHostsWithManyDescriptors() {
    assertThat(DescriptorLimit.of(1_000_000).maxHandshakes()).isEqualTo(256);
  }
}
