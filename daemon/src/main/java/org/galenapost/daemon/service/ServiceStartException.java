package org.galenapost.daemon.service;

/** Thrown when a service cannot start. */
public final class ServiceStartException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private ServiceStartException(String message, Throwable cause) {
    super(message, cause);
  }

  /** Returns the exception of a listener that cannot bind its address. */
  public static ServiceStartException cannotListen(String role, Object address, Throwable cause) {
    return new ServiceStartException(
        "cannot listen for " + role + " on " + address + ": " + cause.getMessage(), cause);
  }

  /** Returns the exception of a certificate or private key that cannot be loaded. */
  public static ServiceStartException cannotReadCertificate(Object file, Throwable cause) {
    return new ServiceStartException(
        "cannot use the certificate " + file + " with its key: " + cause.getMessage(), cause);
  }
}
