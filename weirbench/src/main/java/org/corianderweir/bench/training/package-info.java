/** Stand-ins for the run that records which classes an entry instance loads. */
@NullMarked
package org.corianderweir.bench.training;

import org.jspecify.annotations.NullMarked;
