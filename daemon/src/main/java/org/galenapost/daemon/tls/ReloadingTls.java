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
 * Provides TLS for a listener and reloads the certificate, the private key and the client CA when a
 * file changes. New connections use the new certificate. If the files cannot be loaded, for example
 * because certificate and key do not match, the previous certificate stays in use.
 */
public final class ReloadingTls implements Service {

  private static final EventLog LOG = EventLog.of(ReloadingTls.class);

  private final TlsSettings settings;
  private final Scheduler scheduler;
  private volatile SslContext context;
  private volatile Cancellable nextCheck = () -> {};
  private volatile boolean isStopped;
  private List<FileTime> loadedTimes = List.of();

  /** Creates the service. The files are read on start. */
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

  /** Returns the set-up that adds the TLS handler to a connection. */
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
      List<FileTime> modificationTimes = fileTimes();
      if (modificationTimes.equals(loadedTimes)) {
        return;
      }
      context = load();
      loadedTimes = modificationTimes;
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
    List<FileTime> modificationTimes = new ArrayList<>();
    for (Path file : files()) {
      modificationTimes.add(Files.getLastModifiedTime(file));
    }
    return modificationTimes;
  }

  private List<Path> files() {
    Stream<Path> own = Stream.of(settings.certificateFile(), settings.keyFile());
    return Stream.concat(own, settings.clientCaFile().stream()).toList();
  }
}
