package org.corianderweir.model.platform;

import org.corianderweir.model.topology.EntryInstance;

/**
 * An entry of the platform's list of instances. The list is eventually consistent: it may lag
 * behind the actual state.
 *
 * @param instance the entry instance
 * @param leaving whether the platform is about to stop it
 */
public record ListedInstance(EntryInstance instance, boolean leaving) {}
