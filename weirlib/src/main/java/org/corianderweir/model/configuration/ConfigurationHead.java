package org.corianderweir.model.configuration;

/**
 * The document whose compare-and-swap makes a change accepted.
 *
 * @param revision revision of the configuration
 * @param operation identifier of the change that made it
 * @param indexHash hash of the index, which has the hashes of all documents
 */
public record ConfigurationHead(long revision, String operation, String indexHash) {}
