/** Writes the result of a run as JSON and as a page with pictures. */
@NullMarked
package org.corianderweir.bench.report;

import org.jspecify.annotations.NullMarked;
