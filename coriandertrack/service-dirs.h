#ifndef CT_SERVICE_DIRS_H
#define CT_SERVICE_DIRS_H

#include "arguments.h"
#include "service-files.h"

/*
 * Reads and checks the service files of the directories in the arguments'
 * words and prints all findings on stderr. The caller frees the files with
 * ct_service_files_free(), also on failure. Errors: those of
 * ct_service_files_load().
 */
int ct_service_dirs_load(const struct ct_arguments *arguments,
                         struct ct_service_files *files);

#endif
