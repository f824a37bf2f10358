package org.corianderweir.logic.limits;

/**
 * Names a loan: the request for it that a borrower made. A lender grants a request at most once.
 *
 * @param borrower name of the entry instance that asked
 * @param incarnation incarnation of the borrower
 * @param sequence number of the request, unique in the incarnation
 */
public record LoanIdentifier(String borrower, long incarnation, long sequence) {}
