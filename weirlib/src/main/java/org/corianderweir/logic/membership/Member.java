package org.corianderweir.logic.membership;

import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/**
 * What is known about an entry instance.
 *
 * @param instance its name, availability zone and addresses
 * @param incarnation grows with each start of the process
 * @param state state that it reported itself
 * @param revision configuration revision that it has in force
 */
public record Member(
    EntryInstance instance, long incarnation, InstanceState state, long revision) {}
