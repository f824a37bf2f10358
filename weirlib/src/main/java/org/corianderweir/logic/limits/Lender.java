package org.corianderweir.logic.limits;

/**
 * An entry instance that holds a slice of a limit.
 *
 * @param name name of the entry instance
 * @param sameZone whether it is in the borrower's availability zone
 */
public record Lender(String name, boolean sameZone) {}
