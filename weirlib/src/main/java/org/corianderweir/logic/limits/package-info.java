/**
 * Limits on the rate and concurrency of an organisation's requests: division of the limits among
 * the entry instances, loans between them, and admission of requests.
 */
@NullMarked
package org.corianderweir.logic.limits;

import org.jspecify.annotations.NullMarked;
