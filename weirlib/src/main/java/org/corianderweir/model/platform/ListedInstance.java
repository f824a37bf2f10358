package org.corianderweir.model.platform;

import org.corianderweir.model.topology.EntryInstance;

/**
 * A line of the platform's list of instances, which lags behind the truth.
 *
 * @param instance the entry instance
 * @param leaving whether the platform is about to stop it
 */
public record ListedInstance(EntryInstance instance, boolean leaving) {}
