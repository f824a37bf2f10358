package org.corianderweir.logic.limits.slots;

/**
 * A version of the register that an instance knows.
 *
 * @param version version in the platform's store; zero if it was never written
 * @param register the register at that version
 */
public record CellView(long version, CellRegister register) {}
