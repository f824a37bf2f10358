package org.corianderweir.bench.scenario;

import java.nio.file.Path;
import java.time.Duration;
import org.corianderweir.bench.deployment.Deployment;

/**
 * How an experiment is run.
 *
 * @param deployment what runs
 * @param scenario what happens
 * @param seed seed of the load
 * @param duration how long load arrives
 * @param loadFactor all demand is multiplied by this
 * @param baseline whether callers choose random backend servers themselves
 * @param firstPort first of the TCP ports used
 * @param logDirectory where processes write their logs
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
