package org.galenapost.daemon.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.Certificate;
import javax.net.ssl.KeyManager;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class TlsTest {

  private static final char[] PASSWORD = "password".toCharArray();
  private static final String REQUEST =
      "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

  @TempDir private Path folder;
  private Path certificateFile;
  private Path keyFile;
  private TestCertificate first;
  private TestCertificate second;

  @BeforeEach
  void create() throws Exception {
    certificateFile = folder.resolve("certificate.pem");
    keyFile = folder.resolve("key.pem");
    first = TestCertificate.of("first");
    second = TestCertificate.of("second");
    first.write(certificateFile, keyFile);
  }

  private String tlsSettings() {
    return "reload_interval_ms: 50, certificate_file: \"%s\", key_file: \"%s\""
        .formatted(certificateFile, keyFile);
  }

  /** A client's view of one exchange. */
  private record TlsExchange(Certificate certificate, String answer) {}

  private TlsExchange exchange(TestDaemon daemon, KeyManager... keys) throws Exception {
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(keys, trustManagersFor(first, second), null);
    try (SSLSocket socket =
        (SSLSocket)
            context
                .getSocketFactory()
                .createSocket(InetAddress.getLoopbackAddress(), daemon.daemon.callerPort())) {
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return new TlsExchange(socket.getSession().getPeerCertificates()[0], answer);
    }
  }

  private static TrustManager[] trustManagersFor(TestCertificate... certificates) throws Exception {
    KeyStore store = emptyStore();
    for (int index = 0; index < certificates.length; index++) {
      store.setCertificateEntry("c" + index, certificates[index].certificate());
    }
    TrustManagerFactory factory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    factory.init(store);
    return factory.getTrustManagers();
  }

  private static KeyManager[] keyManagersFor(TestCertificate own) throws Exception {
    KeyStore store = emptyStore();
    store.setKeyEntry("own", own.key(), PASSWORD, new Certificate[] {own.certificate()});
    KeyManagerFactory factory =
        KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    factory.init(store, PASSWORD);
    return factory.getKeyManagers();
  }

  private static KeyStore emptyStore() throws Exception {
    KeyStore store = KeyStore.getInstance("PKCS12");
    store.load(null, PASSWORD);
    return store;
  }

  @Test
  void presentsReplacedCertificateToNewConnections() throws Exception {
    // GIVEN
    try (TestDaemon daemon = TestDaemon.startWithTls(tlsSettings())) {
      TlsExchange before = exchange(daemon);

      // WHEN
      second.write(certificateFile, keyFile);

      // THEN
      assertThat(before.certificate()).isEqualTo(first.certificate());
      assertThat(before.answer()).startsWith("HTTP/1.1 401");
      await()
          .untilAsserted(
              () -> assertThat(exchange(daemon).certificate()).isEqualTo(second.certificate()));
    }
  }

  @Test
  void keepsCertificateWhenReplacementIsInvalid() throws Exception {
    // GIVEN
    try (TestDaemon daemon = TestDaemon.startWithTls(tlsSettings())) {

      // WHEN
      Files.writeString(certificateFile, "not a certificate");
      Thread.sleep(200);

      // THEN
      assertThat(exchange(daemon).certificate()).isEqualTo(first.certificate());
    }
  }

  @Test
  void refusesCallerWithoutCertificateWhereOneIsRequired() throws Exception {
    // GIVEN
    Path caFile = folder.resolve("ca.pem");
    second.write(caFile, folder.resolve("unused.pem"));
    String settings = tlsSettings() + ", client_ca_file: \"%s\"".formatted(caFile);
    try (TestDaemon daemon = TestDaemon.startWithTls(settings)) {

      // WHEN
      TlsExchange trusted = exchange(daemon, keyManagersFor(second));

      // THEN
      assertThat(trusted.answer()).startsWith("HTTP/1.1 401");
      assertThatThrownBy(() -> exchange(daemon)).isInstanceOf(IOException.class);
      assertThatThrownBy(() -> exchange(daemon, keyManagersFor(first))).isInstanceOf(IOException.class);
    }
  }
}
