package org.corianderweir.bench.scenario;

import java.nio.file.Path;
import java.time.Duration;
import org.corianderweir.bench.deployment.Deployment;

/**
 * The options of an experiment.
 *
 * @param deployment deployment to run
 * @param scenario scenario to run against it
 * @param seed seed of the load
 * @param duration duration of the load after the warm-up
 * @param loadFactor factor by which all demand is multiplied
 * @param baseline whether callers choose random backend servers themselves
 * @param firstPort first of the TCP ports used
 * @param logDirectory directory for the logs of the processes
 */
public record RunOptions(
    Deployment deployment,
    Scenario scenario,
    long seed,
    Duration duration,
    double loadFactor,
    boolean baseline,
    int firstPort,
    Path logDirectory) {}
