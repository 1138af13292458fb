package org.galenapost.scenarios.language;

import java.util.List;
import java.util.Optional;

/**
 * A scripted scenario.
 *
 * @param name the name of the scenario, which is also the name of its file
 * @param proves the guarantee that the scenario proves, as listed in docs/PROOFS.md
 * @param without the mechanism whose replacement by a naive version must make the scenario fail, if
 *     any
 * @param fleet the processes to start
 * @param steps the steps, executed in order
 */
public record Scenario(
    String name, String proves, Optional<String> without, FleetSpec fleet, List<Step> steps) {}
