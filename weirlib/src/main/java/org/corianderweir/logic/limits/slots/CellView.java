package org.corianderweir.logic.limits.slots;

/**
 * A register as some instance knows it.
 *
 * @param version version in the platform's service; zero if it was never written
 * @param register the register at that version
 */
public record CellView(long version, CellRegister register) {}
