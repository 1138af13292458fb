package org.galenapost.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.galenapost.core.configuration.ConfigurationKind;
import org.galenapost.core.configuration.ConfigurationRecord;
import org.junit.jupiter.api.Test;

class RouteTableTest {

  private final List<String> faults = new ArrayList<>();
  private final RouteTableHolder tableHolder =
      new RouteTableHolder((before, now) -> {}, (record, fault) -> faults.add(fault));

  @Test
  void choosesTheLongestPrefixOfTheHost() {
    RouteTable table =
        RouteTable.of(
            configuration(
                1, route("short", "h.example", "/a/"), route("long", "h.example", "/a/b/")));

    assertThat(table.find("h.example", "/a/b/c")).map(Route::name).contains("long");
    assertThat(table.find("H.EXAMPLE:8080", "/a/c")).map(Route::name).contains("short");
    assertThat(table.find("h.example", "/a")).isEmpty();
    assertThat(table.find("other.example", "/a/b/c")).isEmpty();
  }

  @Test
  void sharesCallsByWeight() {
    Route route =
        new Route(
            "r",
            "h",
            "/",
            CallKind.IDEMPOTENT,
            1,
            0,
            List.of(
                new RouteTarget("most", 9), new RouteTarget("few", 1), new RouteTarget("no", 0)),
            1,
            true,
            false,
            OptionalLong.empty());

    assertThat(route.serviceFor(0)).isEqualTo("most");
    assertThat(route.serviceFor(0.89)).isEqualTo("most");
    assertThat(route.serviceFor(0.91)).isEqualTo("few");
    assertThat(route.serviceFor(0.999999)).isEqualTo("few");
  }

  @Test
  void findsWorkspacesByAnyOfTheirKeys() {
    RouteTable table =
        RouteTable.of(
            new GatewayConfiguration(
                1,
                List.of(),
                List.of(),
                CallerLimits.defaults(),
                List.of(new GatewayWorkspace("w1", List.of("k1", "k2"), OptionalInt.of(0)))));

    assertThat(table.requiresKeys()).isTrue();
    assertThat(table.workspaceOf("k2")).map(GatewayWorkspace::name).contains("w1");
    assertThat(table.workspaceOf("k3")).isEmpty();
  }

  /** Guards against a configuration that is lost while daemons of an older build pass it on. */
  @Test
  void readsRoutesThatDoNotNameThePatienceOfCallers() {
    String json = configuration(7, route("r", "h", "/a/")).toJson();
    String older = json.replace("\"event_patience_ms\":18000", "\"gap_target_ms\":700");
    assertThat(older).isNotEqualTo(json);

    assertThat(GatewayConfiguration.read(older).get().routes())
        .extracting(Route::eventPatienceMs)
        .containsExactly(OptionalLong.empty());
  }

  @Test
  void isEqualAfterJsonRoundTrip() {
    GatewayConfiguration configuration = configuration(7, route("r", "h", "/a/"));

    assertThat(GatewayConfiguration.read(configuration.toJson()).get()).isEqualTo(configuration);
  }

  @Test
  void neverReplacesAVersionByALowerOne() {
    tableHolder.applyChange(record(3, configuration(8).toJson()));
    tableHolder.applyChange(record(4, configuration(5).toJson()));

    assertThat(tableHolder.current()).map(RouteTable::version).contains(8L);
  }

  @Test
  void keepsTheTableWhenADocumentIsNotValid() {
    tableHolder.applyChange(record(3, configuration(8).toJson()));
    tableHolder.applyChange(record(4, "{\"version\":\"nine\"}"));

    assertThat(tableHolder.current()).map(RouteTable::version).contains(8L);
    assertThat(faults).hasSize(1);
  }

  private static ConfigurationRecord record(long revision, String json) {
    return new ConfigurationRecord(
        ConfigurationKind.GATEWAY, RouteTableHolder.OBJECT_NAME, revision, Optional.of(json));
  }

  private static GatewayConfiguration configuration(long version, Route... routes) {
    return new GatewayConfiguration(
        version,
        List.of(routes),
        List.of(new TargetService("s", 10, Optional.of(new EngineMemory(88_000, true)))),
        CallerLimits.defaults(),
        List.of());
  }

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        CallKind.STREAM,
        25_000,
        1,
        List.of(new RouteTarget("s", 1)),
        5,
        false,
        true,
        OptionalLong.of(18_000));
  }
}
