package org.galenapost.daemon.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenapost.core.json.Json;
import org.galenapost.core.platform.Host;
import org.galenapost.core.platform.HostRole;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.peer.PeerAddress;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.settings.DaemonSettings;

/**
 * Registers the peer address of this daemon in the platform's store and periodically lists those of
 * the other daemons. Entries of stopped daemons stay in the store; membership determines which
 * daemons are alive. An entry that a restored store lacks is written again.
 */
final class RegistrationController implements Service {

  /** Kind of the objects that hold the peer address of one daemon each. */
  static final String KIND = "daemon";

  private static final EventLog LOG = EventLog.of(RegistrationController.class);
  private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);
  private static final Duration LIST_PERIOD = Duration.ofSeconds(15);

  private final DaemonSettings daemon;
  private final ObjectStore store;
  private final Supplier<PeerAddress> ownAddress;
  private final Consumer<List<Host>> onHosts;
  private final Scheduler scheduler;
  private final RandomSource random;
  private volatile boolean isRunning;
  private boolean isConflictRetried;
  private Runnable onFirstRegistration = () -> {};
  private volatile int otherDaemonCount = Integer.MAX_VALUE;

  RegistrationController(
      DaemonSettings daemon,
      ObjectStore store,
      Supplier<PeerAddress> ownAddress,
      Consumer<List<Host>> onHosts,
      Scheduler scheduler,
      RandomSource random) {
    this.daemon = daemon;
    this.store = store;
    this.ownAddress = ownAddress;
    this.onHosts = onHosts;
    this.scheduler = scheduler;
    this.random = random;
  }

  /**
   * Stored peer address of a daemon.
   *
   * @param ip the IP address as a literal
   * @param port the TCP port
   * @param dataCentre the data centre of the daemon
   */
  record DaemonEntry(String ip, int port, String dataCentre) {}

  @Override
  public String name() {
    return "registration";
  }

  @Override
  public void start() {
    isRunning = true;
    registerOwnAddress(ObjectStore.ABSENT);
  }

  @Override
  public void stop() {
    isRunning = false;
  }

  /**
   * Returns the number of other registered daemons, whether they run or not; {@link
   * Integer#MAX_VALUE} before the first listing.
   */
  int otherDaemonCount() {
    return otherDaemonCount;
  }

  /** Returns whether the registered daemons have been listed since the start. */
  boolean isListed() {
    return otherDaemonCount != Integer.MAX_VALUE;
  }

  /**
   * Sets the action that runs if the store holds no entry of an earlier process of this daemon when
   * it registers for the first time.
   */
  void setOnFirstRegistration(Runnable action) {
    onFirstRegistration = action;
  }

  private void registerOwnAddress(long expectedVersion) {
    if (!isRunning) {
      return;
    }
    store.put(ownKey(), expectedVersion, ownEntry()).thenAccept(this::onRegistered);
  }

  private ObjectKey ownKey() {
    return new ObjectKey(KIND, daemon.id());
  }

  private String ownEntry() {
    PeerAddress address = ownAddress.get();
    return Json.write(new DaemonEntry(address.ip(), address.port(), daemon.dataCentre()));
  }

  private void onRegistered(Either<PlatformError, VersionedObject> result) {
    if (result.isRight()) {
      takeFirstRegistration().run();
      isConflictRetried = false;
      LOG.info("daemon_registered").with("version", result.get().version()).write();
      listDaemons();
      return;
    }
    Optional<VersionedObject> current = currentOf(result.getLeft());
    if (current.isPresent()) {
      takeFirstRegistration();
    }
    if (current.isPresent() && current.get().json().equals(ownEntry())) {
      listDaemons();
    } else if (current.isPresent() && !isConflictRetried) {
      isConflictRetried = true;
      registerOwnAddress(current.get().version());
    } else {
      isConflictRetried = false;
      LOG.warn("registration_failed").with("error", result.getLeft()).write();
      scheduler.schedule(random.jitter(RETRY_PERIOD), () -> registerOwnAddress(ObjectStore.ABSENT));
    }
  }

  private Runnable takeFirstRegistration() {
    Runnable action = onFirstRegistration;
    onFirstRegistration = () -> {};
    return action;
  }

  private static Optional<VersionedObject> currentOf(PlatformError error) {
    return error instanceof PlatformError.Conflict conflict ? conflict.current() : Optional.empty();
  }

  private void listDaemons() {
    if (isRunning) {
      store.list(KIND).thenAccept(this::onListed);
    }
  }

  /** Lists again; membership spreads news of daemons, so that an older state is good enough. */
  private void listRecentDaemons() {
    if (isRunning) {
      store.listRecent(KIND).thenAccept(this::onListed);
    }
  }

  private void onListed(Either<PlatformError, Listing> result) {
    result.peek(this::applyListing);
    result.peekLeft(error -> LOG.warn("daemons_not_listed").with("error", error).write());
    boolean isOwnEntryLost =
        result.isRight()
            && result.get().objects().stream()
                .noneMatch(object -> object.key().name().equals(daemon.id()));
    if (isOwnEntryLost) {
      LOG.warn("registration_lost").with("daemon", daemon.id()).write();
      registerOwnAddress(ObjectStore.ABSENT);
      return;
    }
    if (result.isRight()) {
      scheduler.schedule(random.jitter(LIST_PERIOD), this::listRecentDaemons);
    } else {
      scheduler.schedule(random.jitter(RETRY_PERIOD), this::listDaemons);
    }
  }

  private void applyListing(Listing listing) {
    List<Host> hosts =
        listing.objects().stream().flatMap(object -> hostOf(object).stream()).toList();
    onHosts.accept(hosts);
    otherDaemonCount = (int) hosts.stream().filter(host -> !host.id().equals(daemon.id())).count();
  }

  private static Optional<Host> hostOf(VersionedObject object) {
    Either<String, DaemonEntry> entry = Json.read(object.json(), DaemonEntry.class);
    if (entry.isLeft() || entry.get().ip() == null || entry.get().dataCentre() == null) {
      LOG.warn("daemon_entry_unreadable").with("name", object.key().name()).write();
      return Optional.empty();
    }
    DaemonEntry daemonEntry = entry.get();
    return Optional.of(
        new Host(
            object.key().name(),
            daemonEntry.ip(),
            daemonEntry.port(),
            HostRole.DAEMON,
            daemonEntry.dataCentre(),
            false));
  }
}
