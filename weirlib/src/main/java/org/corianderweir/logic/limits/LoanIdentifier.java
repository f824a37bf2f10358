package org.corianderweir.logic.limits;

/**
 * Identifies a loan by the request that the borrower made for it. A lender grants a request at most
 * once.
 *
 * @param borrower name of the entry instance that requested the loan
 * @param incarnation incarnation of the borrower
 * @param sequence number of the request, unique in the incarnation
 */
public record LoanIdentifier(String borrower, long incarnation, long sequence) {}
