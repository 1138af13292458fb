package org.galenapost.daemon.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.net.ssl.SSLException;
import org.galenapost.core.time.Scheduler;
import org.galenapost.core.time.Scheduler.Cancellable;
import org.galenapost.daemon.http.PipelineSetup;
import org.galenapost.daemon.log.EventLog;
import org.galenapost.daemon.service.Service;
import org.galenapost.daemon.service.ServiceStartException;
import org.galenapost.daemon.settings.TlsSettings;

/**
 * Serves TLS and reads certificate and key again when a file changes. New connections get the new
 * certificate; files that do not fit together leave the earlier one in use.
 */
public final class ReloadingTls implements Service {

  private static final EventLog LOG = EventLog.of(ReloadingTls.class);

  private final TlsSettings settings;
  private final Scheduler scheduler;
  private volatile SslContext context;
  private volatile Cancellable nextCheck = () -> {};
  private volatile boolean isStopped;
  private List<FileTime> loadedTimes = List.of();

  /** Creates the service; the files are read on start. */
  public ReloadingTls(TlsSettings settings, Scheduler scheduler) {
    this.settings = settings;
    this.scheduler = scheduler;
  }

  @Override
  public String name() {
    return "tls";
  }

  @Override
  public void start() {
    try {
      loadedTimes = fileTimes();
      context = load();
    } catch (IOException | IllegalArgumentException e) {
      throw ServiceStartException.cannotReadCertificate(settings.certificateFile(), e);
    }
    nextCheck = scheduler.schedule(settings.reloadInterval(), this::checkFiles);
  }

  @Override
  public void stop() {
    isStopped = true;
    nextCheck.cancel();
  }

  /** Returns the set-up of a TLS connection. */
  public PipelineSetup pipelineSetup() {
    return pipeline -> pipeline.addLast("tls", context.newHandler(pipeline.channel().alloc()));
  }

  private void checkFiles() {
    if (isStopped) {
      return;
    }
    reloadIfChanged();
    nextCheck = scheduler.schedule(settings.reloadInterval(), this::checkFiles);
  }

  private void reloadIfChanged() {
    try {
      List<FileTime> times = fileTimes();
      if (times.equals(loadedTimes)) {
        return;
      }
      context = load();
      loadedTimes = times;
      LOG.info("certificate_reloaded").with("file", settings.certificateFile()).write();
    } catch (IOException | IllegalArgumentException e) {
      LOG.warn("certificate_not_reloaded").with("error", e).write();
    }
  }

  private SslContext load() throws SSLException {
    SslContextBuilder builder =
        SslContextBuilder.forServer(
            settings.certificateFile().toFile(), settings.keyFile().toFile());
    settings
        .clientCaFile()
        .ifPresent(ca -> builder.trustManager(ca.toFile()).clientAuth(ClientAuth.REQUIRE));
    return builder.build();
  }

  private List<FileTime> fileTimes() throws IOException {
    List<FileTime> times = new ArrayList<>();
    for (Path file : files()) {
      times.add(Files.getLastModifiedTime(file));
    }
    return times;
  }

  private List<Path> files() {
    Stream<Path> own = Stream.of(settings.certificateFile(), settings.keyFile());
    return Stream.concat(own, settings.clientCaFile().stream()).toList();
  }
}
