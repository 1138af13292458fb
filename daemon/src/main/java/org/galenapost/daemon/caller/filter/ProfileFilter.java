package org.galenapost.daemon.caller.filter;

import java.util.Optional;
import org.galenapost.core.configuration.ConfigurationView;
import org.galenapost.core.profile.Profile;
import org.galenapost.core.verdict.Refusal;
import org.galenapost.core.verdict.RefusalReason;
import org.galenapost.daemon.caller.Exchange;
import org.galenapost.daemon.caller.Filter;
import org.galenapost.daemon.caller.FilterChain;

/** Looks up the profile that the request names. */
public final class ProfileFilter implements Filter {

  /** The header that names the profile. */
  public static final String PROFILE_HEADER = "Galenapost-Profile";

  private static final String DEFAULT_PROFILE = "default";

  private final ConfigurationView configuration;

  /** Creates a filter that looks profiles up in the active configuration. */
  public ProfileFilter(ConfigurationView configuration) {
    this.configuration = configuration;
  }

  @Override
  public void handle(Exchange exchange, FilterChain next) {
    String name = exchange.request().headers().get(PROFILE_HEADER, DEFAULT_PROFILE);
    Optional<Profile> profile = configuration.profile(name);
    if (profile.isEmpty()) {
      exchange.refuse(
          Refusal.notRun(RefusalReason.UNKNOWN_PROFILE, "There is no profile '" + name + "'."));
      return;
    }
    exchange.setProfile(profile.get());
    next.proceed(exchange);
  }
}
