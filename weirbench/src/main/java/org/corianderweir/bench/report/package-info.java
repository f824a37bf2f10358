/** Writes the result of a run as JSON and as an HTML page with charts. */
@NullMarked
package org.corianderweir.bench.report;

import org.jspecify.annotations.NullMarked;
