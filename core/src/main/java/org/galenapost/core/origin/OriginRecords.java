package org.galenapost.core.origin;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.galenapost.core.hashing.Rendezvous;
import org.galenapost.core.json.Json;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.platform.Listing;
import org.galenapost.core.platform.ObjectKey;
import org.galenapost.core.platform.ObjectStore;
import org.galenapost.core.platform.PlatformError;
import org.galenapost.core.platform.StoreVersion;
import org.galenapost.core.platform.VersionedObject;
import org.galenapost.core.time.MonotonicClock;
import org.galenapost.core.time.Scheduler;

/**
 * Keeps where streams began in the platform's store, so that it survives the loss of all daemons.
 * Each daemon writes one object: the streams that it has begun, as long as their service does not
 * run a single version, and on a few daemons also the versions of all services. A daemon that
 * starts reads the objects of all daemons. Not safe for use by several threads.
 */
public final class OriginRecords {

  /** The kind of the objects, one for each daemon. */
  public static final String KIND = "stream-origins";

  /** A stream that begins in less than this before a loss of all daemons may not be recorded. */
  public static final Duration WRITE_PERIOD = Duration.ofMillis(500);

  /** Daemons that record the versions of services; several may be unable to write. */
  static final int VERSION_RECORDERS = 3;

  /** Lets a daemon that starts learn which others live, before it counts as a recorder. */
  private static final Duration FIRST_WRITE_DELAY = Duration.ofSeconds(2);

  private static final Duration MIN_REREAD_INTERVAL = Duration.ofSeconds(1);

  /** How long a caller that resumes a stream waits for the records to be read. */
  private static final Duration READ_TIMEOUT = Duration.ofMillis(300);

  private final String daemonId;
  private final ObjectStore store;
  private final PeerBus bus;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final VersionHistory history;
  private final StreamOrigins origins;
  private final StreamsInProgress streams;
  private final Listener listener;
  private final Map<String, Long> absentSinceNanos = new HashMap<>();
  private final List<Runnable> waitingForRead = new ArrayList<>();
  private OriginRecord inherited = OriginRecord.EMPTY;
  private OriginRecord written = OriginRecord.EMPTY;
  private long writtenVersion = ObjectStore.ABSENT;
  private long startNanos;
  private long lastWriteNanos;
  private long lastReadNanos;
  private long writeCount;
  private boolean isFirstStart;
  private boolean wereThereNoRecords;
  private boolean hasRead;
  private boolean isReading;
  private boolean isWriting;
  private boolean isRunning;

  /**
   * Creates records that are neither read nor written yet.
   *
   * @param daemonId the id of this daemon, the name of its object
   * @param store the platform's store
   * @param bus the bus to all daemons
   * @param scheduler runs the periodic writes
   * @param clock measures the time between writes
   * @param history the versions at which streams may have begun
   * @param origins learns the origins that are read
   * @param listener is told what was read and which writes failed
   */
  public OriginRecords(
      String daemonId,
      ObjectStore store,
      PeerBus bus,
      Scheduler scheduler,
      MonotonicClock clock,
      VersionHistory history,
      StreamOrigins origins,
      Listener listener) {
    this.daemonId = daemonId;
    this.store = store;
    this.bus = bus;
    this.scheduler = scheduler;
    this.clock = clock;
    this.history = history;
    this.origins = origins;
    this.streams = new StreamsInProgress(clock);
    this.listener = listener;
  }

  /** Is told what happens to the records. */
  public interface Listener {
    /** Handles that the records of other daemons, and of this one's earlier start, were read. */
    void onRead(int records, int streams, boolean isComplete);

    /** Handles a failed call to the store, which is repeated. */
    void onFailure(PlatformError error);
  }

  /** Starts to read and write records. */
  public void start() {
    isRunning = true;
    startNanos = clock.nanos();
    lastWriteNanos = startNanos;
    read();
    scheduler.schedule(WRITE_PERIOD, this::tick);
  }

  /** Stops the periodic writes. */
  public void stop() {
    isRunning = false;
  }

  private void tick() {
    if (!isRunning) {
      return;
    }
    history.update();
    if (hasRead) {
      writeIfChanged();
      removeRecordsOfAbsentDaemons();
    } else if (clock.since(lastReadNanos).compareTo(MIN_REREAD_INTERVAL) >= 0) {
      read();
    }
    scheduler.schedule(WRITE_PERIOD, this::tick);
  }

  /**
   * Keeps a stream that this daemon has begun or resumed.
   *
   * @param stream the id of the caller's attempt that brought the first event
   * @param origin where the stream began
   * @param lifetime how long the caller may still resume it
   */
  public void begin(String stream, StreamOrigin origin, Duration lifetime) {
    streams.begin(stream, origin, lifetime);
    boolean isDue = clock.since(lastWriteNanos).compareTo(WRITE_PERIOD) >= 0;
    if (hasRead && isDue && history.needsRecords(origin.service())) {
      writeIfChanged();
    }
  }

  /** Forgets a stream that is complete. */
  public void end(String stream) {
    streams.end(stream);
  }

  /** Returns the number of writes so far. */
  public long writeCount() {
    return writeCount;
  }

  /** Returns whether the records have been read since the start. */
  public boolean hasRead() {
    return hasRead;
  }

  /** Returns the versions at which streams may have begun. */
  public VersionHistory history() {
    return history;
  }

  /** Runs the action once the records have been read lately, after at most 300 ms. */
  public void refresh(Runnable onRefreshed) {
    boolean isRecent = hasRead && clock.since(lastReadNanos).compareTo(MIN_REREAD_INTERVAL) < 0;
    if (isRecent && !isReading) {
      onRefreshed.run();
      return;
    }
    Once once = new Once(onRefreshed);
    waitingForRead.add(once);
    scheduler.schedule(READ_TIMEOUT, once);
    read();
  }

  private void read() {
    if (isReading) {
      return;
    }
    isReading = true;
    lastReadNanos = clock.nanos();
    store.list(KIND).thenAccept(this::onRead);
  }

  private void onRead(Either<PlatformError, Listing> result) {
    isReading = false;
    result.peekLeft(listener::onFailure).peek(this::apply);
    List<Runnable> waiting = List.copyOf(waitingForRead);
    waitingForRead.clear();
    waiting.forEach(Runnable::run);
  }

  private void apply(Listing listing) {
    boolean isFirstRead = !hasRead;
    hasRead = true;
    int streamCount = 0;
    for (VersionedObject object : listing.objects()) {
      OriginRecord earlier =
          Json.read(object.json(), OriginRecord.class).getOrElse(OriginRecord.EMPTY);
      streamCount += keepStreams(earlier);
      if (isFirstRead) {
        history.inherit(earlier);
        noteOwner(object, earlier);
      }
    }
    if (isFirstRead) {
      wereThereNoRecords = listing.objects().isEmpty();
      beginIfFirstStart();
    }
    listener.onRead(listing.objects().size(), streamCount, history.isComplete());
  }

  /**
   * Records that no daemon has run before. It holds only if the store has no records of an earlier
   * one.
   */
  public void confirmFirstStart() {
    isFirstStart = true;
    beginIfFirstStart();
  }

  private void beginIfFirstStart() {
    if (isFirstStart && wereThereNoRecords) {
      history.beginWithoutEarlierDaemons();
    }
  }

  private void noteOwner(VersionedObject object, OriginRecord earlier) {
    if (object.key().name().equals(daemonId)) {
      written = earlier;
      writtenVersion = object.version();
      inherited = earlier;
      earlier.forEachStream((id, origin) -> streams.begin(id, origin, history.maxStreamAge()));
    } else {
      absentSinceNanos.put(object.key().name(), clock.nanos());
    }
  }

  private int keepStreams(OriginRecord earlier) {
    earlier.forEachStream((id, origin) -> origins.learn(id, origin, history.maxStreamAge()));
    return earlier.streamIds().size();
  }

  private void writeIfChanged() {
    OriginRecord current = currentRecord();
    boolean isOutdated =
        !current.hasSameVersions(written)
            || !written.streamIds().containsAll(current.streamIds())
            || isLostByRestore()
            || namesOnlyEndedStreams(written);
    if (isOutdated && !isWriting) {
      write(current);
    }
  }

  /** The versions that began them would count as in service after a loss of all daemons. */
  private boolean namesOnlyEndedStreams(OriginRecord record) {
    Set<String> services = record.streams().keySet();
    return !services.isEmpty() && services.stream().noneMatch(history::needsRecords);
  }

  private boolean isLostByRestore() {
    return writtenVersion != ObjectStore.ABSENT && history.era() > StoreVersion.era(writtenVersion);
  }

  private OriginRecord currentRecord() {
    Map<String, Map<String, Set<String>>> ids = streams.ids(history::needsRecords);
    boolean arePeersKnown = clock.since(startNanos).compareTo(FIRST_WRITE_DELAY) >= 0;
    if (!arePeersKnown) {
      return new OriginRecord(inherited.isComplete(), inherited.versions(), ids);
    }
    return isVersionRecorder()
        ? new OriginRecord(history.isComplete(), history.versions(), ids)
        : new OriginRecord(false, Map.of(), ids);
  }

  private boolean isVersionRecorder() {
    return Rendezvous.rank(KIND, liveDaemonIds(), id -> id).stream()
        .limit(VERSION_RECORDERS)
        .anyMatch(daemonId::equals);
  }

  private Set<String> liveDaemonIds() {
    Set<String> ids = new TreeSet<>(bus.livePeerIds());
    ids.add(daemonId);
    return ids;
  }

  private void write(OriginRecord record) {
    // What the store holds is not known until a write is acknowledged.
    written = OriginRecord.UNKNOWN;
    isWriting = true;
    writeCount++;
    lastWriteNanos = clock.nanos();
    store
        .put(new ObjectKey(KIND, daemonId), writtenVersion, Json.write(record))
        .thenAccept(result -> onWritten(record, result));
  }

  private void onWritten(OriginRecord record, Either<PlatformError, VersionedObject> result) {
    isWriting = false;
    if (result.isRight()) {
      written = record;
      writtenVersion = result.get().version();
      return;
    }
    // The write is repeated by the next tick, on the condition of what the store holds.
    PlatformError error = result.getLeft();
    if (error instanceof PlatformError.NotFound) {
      writtenVersion = ObjectStore.ABSENT;
    } else if (error instanceof PlatformError.Conflict conflict) {
      writtenVersion = conflict.current().map(VersionedObject::version).orElse(ObjectStore.ABSENT);
    }
    listener.onFailure(error);
  }

  /**
   * Removes the records of daemons that have been gone for longer than their streams last, since
   * the versions that they name would never be brought up to date.
   */
  private void removeRecordsOfAbsentDaemons() {
    Set<String> live = bus.livePeerIds();
    live.forEach(id -> absentSinceNanos.put(id, clock.nanos()));
    List<String> gone =
        absentSinceNanos.entrySet().stream()
            .filter(entry -> clock.since(entry.getValue()).compareTo(history.maxStreamAge()) > 0)
            .map(Map.Entry::getKey)
            .toList();
    for (String name : gone) {
      absentSinceNanos.remove(name);
      Stream<String> ranked = Rendezvous.rank(name, liveDaemonIds(), id -> id).stream();
      if (ranked.findFirst().filter(daemonId::equals).isPresent()) {
        remove(new ObjectKey(KIND, name));
      }
    }
  }

  private void remove(ObjectKey key) {
    store
        .get(key)
        .thenAccept(
            found ->
                found.peek(
                    object ->
                        store
                            .delete(key, object.version())
                            .thenAccept(deleted -> deleted.peekLeft(listener::onFailure))));
  }

  /** Runs an action once, by whichever of several events comes first. */
  private static final class Once implements Runnable {

    private final Runnable action;
    private boolean hasRun;

    Once(Runnable action) {
      this.action = action;
    }

    @Override
    public void run() {
      if (!hasRun) {
        hasRun = true;
        action.run();
      }
    }
  }
}
